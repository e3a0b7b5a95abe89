package daemon

import (
	"context"
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"

	"github.com/lotusferry/lotusferry/config"
)

// The exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
	// ExitCut: a planned stop ran out of time, or a second signal came, and
	// requests in progress were cut.
	ExitCut = 4
)

// commandLine is the daemon's command line: a settings file with flags over it.
type commandLine struct {
	Config string `long:"config" value-name:"FILE" description:"settings file" required:"true"`
	Check  bool   `long:"check" description:"check the settings and exit"`
	config.Flags
}

// Main is the daemon's program: it runs until stop ends, then makes a planned
// stop that lasts at most until cut ends or the settings' stop timeout. It
// returns the exit code.
func Main(stop, cut context.Context, arguments []string, output, failures io.Writer) int {
	var line commandLine
	parser := flags.NewNamedParser("lotusferry", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Daemon", "", &line); err != nil {
		fmt.Fprintln(failures, err)
		return ExitFailed
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(failures, err)
		if flags.WroteHelp(err) {
			return ExitOK
		}
		return ExitUsage
	}
	settings, err := config.Load(line.Config, line.Flags)
	if err != nil {
		fmt.Fprintln(failures, err)
		return ExitSettings
	}
	if line.Check {
		fmt.Fprintln(output, "The settings are sound.")
		return ExitOK
	}
	return serve(stop, cut, newLogger(failures, settings.Log), settings)
}

// serve runs a daemon until stop ends or it fails, and makes its planned stop.
func serve(stop, cut context.Context, parent log.Logger, settings config.Config) int {
	logger := log.With(parent, "component", "daemon")
	running, err := New(parent, settings)
	if err != nil {
		level.Error(logger).Log("msg", "The daemon cannot start.", "err", err)
		return ExitFailed
	}
	running.Start()
	code := ExitOK
	select {
	case err := <-running.Failed():
		level.Error(logger).Log("msg", "The daemon cannot go on.", "err", err)
		code = ExitFailed
	case <-stop.Done():
	}
	ctx, cancel := context.WithTimeoutCause(cut, settings.Timing.StopTimeout, ErrStopTimeout)
	defer cancel()
	level.Info(logger).Log("msg", "The daemon stops; a second signal cuts what is in progress.",
		"timeout", settings.Timing.StopTimeout)
	requestsCut := running.Stop(ctx)
	level.Info(logger).Log("msg", "The daemon has stopped.", "requests_cut", requestsCut)
	if code == ExitOK && requestsCut > 0 {
		return ExitCut
	}
	return code
}

// newLogger makes the logger that the settings ask for.
func newLogger(output io.Writer, settings config.Log) log.Logger {
	writer := log.NewSyncWriter(output)
	logger := log.NewLogfmtLogger(writer)
	if settings.Format == "json" {
		logger = log.NewJSONLogger(writer)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(settings.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
