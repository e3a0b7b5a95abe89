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

// Process is a daemon process started by the lab.
type Process struct {
	ID       structs.DaemonID
	Zone     structs.ZoneID
	Settings config.Config

	command []string
	folder  string
	running *exec.Cmd
	log     *os.File
	ended   chan struct{}
	// exitCode is that of the last run, valid once ended is closed; -1 after a signal.
	exitCode int
	// starts is the number of starts; it distinguishes the runs of the daemon.
	starts atomic.Int64
}

// newProcess creates the data folder and the settings file of a daemon below folder.
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

// Start starts the process. Its output is appended to log.txt in its folder.
func (p *Process) Start() error {
	output, err := os.OpenFile(filepath.Join(p.folder, "log.txt"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log of a daemon")
	}
	arguments := append(p.command[1:len(p.command):len(p.command)], "--config", filepath.Join(p.folder, "settings.yaml"))
	p.running = exec.Command(p.command[0], arguments...)
	p.running.Stdout = output
	p.running.Stderr = output
	// The daemon must not outlive the lab.
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
		// The exit code is sufficient; faults make daemons end in many ways.
		_ = running.Wait()
		p.exitCode = running.ProcessState.ExitCode()
		output.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process if it is still running.
func (p *Process) Signal(signal os.Signal) {
	if p.running == nil || p.running.Process == nil {
		return
	}
	// An error means that the process has already ended.
	_ = p.running.Process.Signal(signal)
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.wait()
}

// Terminate requests a planned stop and kills the process after limit. It returns the
// exit code, or -1 if the process was killed.
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

// target returns the daemon's router as a call target.
func (p *Process) target() target { return target{id: p.ID, url: p.CallersURL()} }

// CallersURL returns the base URL of the daemon's caller API.
func (p *Process) CallersURL() string { return "http://" + p.Settings.Listen.Callers }
