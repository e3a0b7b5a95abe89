package lab

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/structs"
)

// Process is a daemon that the kit started.
type Process struct {
	ID       structs.DaemonID
	Zone     structs.ZoneID
	Settings config.Config

	command []string
	folder  string
	running *exec.Cmd
	log     *os.File
	ended   chan struct{}
	// exitCode is that of the last run, once ended is closed; -1 after a signal.
	exitCode int
	// starts counts the starts; it tells the daemon's lives apart.
	starts atomic.Int64
}

// newProcess writes the settings file of a daemon below folder.
func newProcess(command []string, folder string, settings config.Config) (*Process, error) {
	own := filepath.Join(folder, string(settings.Daemon))
	settings.DataFolder = filepath.Join(own, "data")
	if err := os.MkdirAll(settings.DataFolder, 0o700); err != nil {
		return nil, errors.Wrap(err, "make a data folder")
	}
	encoded, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(filepath.Join(own, "settings.yaml"), encoded, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return &Process{ID: settings.Daemon, Zone: settings.Zone, Settings: settings, command: command, folder: own}, nil
}

// Start starts the process; its output goes to log.txt in its folder.
func (p *Process) Start() error {
	output, err := os.OpenFile(filepath.Join(p.folder, "log.txt"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log of a daemon")
	}
	arguments := append(p.command[1:len(p.command):len(p.command)], "--config", filepath.Join(p.folder, "settings.yaml"))
	p.running = exec.Command(p.command[0], arguments...)
	p.running.Stdout = output
	p.running.Stderr = output
	// The daemon must not outlive the kit.
	p.running.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.running.Start(); err != nil {
		output.Close()
		return errors.Wrap(err, "start a daemon")
	}
	p.starts.Add(1)
	p.log = output
	ended := make(chan struct{})
	p.ended = ended
	running := p.running
	go func() {
		// The error says no more than the exit code: faults end daemons in many ways.
		_ = running.Wait()
		p.exitCode = running.ProcessState.ExitCode()
		output.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process that Start started, if it still runs.
func (p *Process) Signal(signal os.Signal) {
	if p.running == nil || p.running.Process == nil {
		return
	}
	// A process that has ended cannot be signalled, which is what was wanted.
	_ = p.running.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.wait()
}

// Terminate makes a planned stop and waits at most limit before it kills. It
// returns the exit code, which is -1 for a daemon that was killed.
func (p *Process) Terminate(limit time.Duration) int {
	p.Signal(syscall.SIGTERM)
	if p.ended == nil {
		return 0
	}
	select {
	case <-p.ended:
	case <-time.After(limit):
		p.Kill()
	}
	return p.exitCode
}

func (p *Process) wait() {
	if p.ended != nil {
		<-p.ended
	}
}

// target names the daemon's router to a caller.
func (p *Process) target() target { return target{id: p.ID, url: p.CallersURL()} }

// CallersURL is the base URL of the daemon's callers' interface.
func (p *Process) CallersURL() string { return "http://" + p.Settings.Listen.Callers }
