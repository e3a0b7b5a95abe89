package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"

	"github.com/lotusferry/lotusferry/config"
)

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
	// ExitCut means that requests in progress were aborted, because the graceful
	// shutdown exceeded its timeout or a second signal arrived.
	ExitCut = 4
)

// commandLine is the daemon's command line. Its flags override the settings file.
type commandLine struct {
	Config string `long:"config" value-name:"FILE" description:"settings file" required:"true"`
	config.Flags
	Check checkCommand `command:"check" description:"Check the settings and exit"`
}

type checkCommand struct {
	JSON bool `long:"json" description:"print JSON"`
}

// Main runs the daemon until stop is done, then shuts it down gracefully, until cut is
// done or the stop timeout of the settings expires. With the command check it only
// validates the settings. It returns the exit code.
func Main(stop, cut context.Context, arguments []string, output, failures io.Writer) int {
	var line commandLine
	parser := flags.NewNamedParser("lotusferry", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Daemon", "", &line); err != nil {
		fmt.Fprintln(failures, err)
		return ExitFailed
	}
	rest, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Fprintln(output, err)
		return ExitOK
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("the argument %q is not expected: see --help", rest[0])
	}
	if err != nil {
		fmt.Fprintln(failures, "lotusferry:", err)
		return ExitUsage
	}
	if parser.Active != nil {
		return line.check(output, failures)
	}
	settings, err := config.Load(line.Config, line.Flags)
	if err != nil {
		fmt.Fprintln(failures, err)
		return ExitSettings
	}
	return serve(stop, cut, newLogger(failures, settings.Log), settings, line.Config)
}

// check prints the problems of the settings. It returns ExitSettings if a daemon would
// not start with them.
func (l commandLine) check(output, failures io.Writer) int {
	result, err := config.CheckFile(l.Config, l.Flags)
	if err == nil {
		err = l.print(output, result)
	}
	if err != nil {
		fmt.Fprintln(failures, "lotusferry:", err)
		return ExitSettings
	}
	if !result.OK {
		return ExitSettings
	}
	return ExitOK
}

func (l commandLine) print(output io.Writer, result config.CheckResult) error {
	if l.Check.JSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	for _, problem := range result.Problems {
		fmt.Fprintln(output, problem)
	}
	verdict := "can be used"
	if !result.OK {
		verdict = "cannot be used"
	}
	fmt.Fprintf(output, "%s %s\n", l.Config, verdict)
	return nil
}

// serve runs a daemon until stop is done or the daemon fails, then shuts it down
// gracefully.
func serve(stop, cut context.Context, parent log.Logger, settings config.Config, path string) int {
	logger := log.With(parent, "daemon", settings.Daemon, "zone", settings.Zone, "component", "daemon")
	running, err := New(parent, settings, path)
	if err != nil {
		level.Error(logger).Log("msg", "The daemon cannot start.", "err", err)
		return ExitFailed
	}
	running.Start()
	code := ExitOK
	select {
	case err := <-running.Failed():
		level.Error(logger).Log("msg", "The daemon failed.", "err", err)
		code = ExitFailed
	case <-stop.Done():
	}
	ctx, cancel := context.WithTimeoutCause(cut, settings.Timing.StopTimeout, ErrStopTimeout)
	defer cancel()
	level.Info(logger).Log("msg", "The daemon is shutting down; a second signal aborts the requests in progress.",
		"timeout", settings.Timing.StopTimeout)
	requestsCut := running.Stop(ctx)
	level.Info(logger).Log("msg", "The daemon has stopped.", "requests_cut", requestsCut)
	if code == ExitOK && requestsCut > 0 {
		return ExitCut
	}
	return code
}

// newLogger returns a logger with the format and level of the settings.
func newLogger(output io.Writer, settings config.Log) log.Logger {
	writer := log.NewSyncWriter(output)
	logger := log.NewLogfmtLogger(writer)
	if settings.Format == "json" {
		logger = log.NewJSONLogger(writer)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(settings.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
