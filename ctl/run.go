package ctl

import (
	"context"
	stderrors "errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// Environment holds the standard streams and the connection function of a run.
type Environment struct {
	Input  io.Reader
	Output io.Writer
	Errors io.Writer
	// Connect returns the service for the options; nil means an HTTP client.
	Connect func(Options) (operatorapi.Service, error)
}

// Options are the options common to all commands.
type Options struct {
	Addresses   []string      `long:"address" env:"LOTUSFERRY_ADDRESSES" env-delim:"," description:"operators' address of a daemon; may be repeated" value-name:"IP:PORT"`
	CA          string        `long:"ca" env:"LOTUSFERRY_CA" description:"certificate file of the site's CA" value-name:"FILE"`
	KeyFile     string        `long:"key-file" env:"LOTUSFERRY_KEY_FILE" description:"file that holds the operator's key" value-name:"FILE"`
	Development bool          `long:"development" description:"plain HTTP without a key, to loopback addresses only"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"time for the command, waits not counted" value-name:"DURATION"`
	JSON        bool          `long:"json" description:"print JSON"`
}

// invocation is the state shared by the commands of one run.
type invocation struct {
	Environment
	ctx     context.Context
	options *Options
}

// commandLine is the command tree for go-flags.
type commandLine struct {
	Options  Options          `group:"Options of all commands"`
	Table    tableCommands    `command:"table" description:"Read, edit and watch the table"`
	Status   statusCommand    `command:"status" description:"Show the state of the zones and daemons"`
	Drain    drainCommand     `command:"drain" description:"Give a runner or a daemon no new work"`
	Undrain  undrainCommand   `command:"undrain" description:"Use a runner or a daemon again"`
	Member   memberCommands   `command:"member" description:"List and change the members of the groups"`
	Check    checkCommand     `command:"check" description:"Check the settings file of a daemon"`
	Keys     keysCommands     `command:"keys" description:"Make the CA, certificates and API keys"`
	Snapshot snapshotCommands `command:"snapshot" description:"Save, inspect and restore the state of a group"`
	Tenants  tenantsCommand   `command:"tenants" description:"Tell from logs how tenants stand: limits, shares, who waits and who was refused"`
	Explain  explainCommand   `command:"explain" description:"Tell from logs what became of a request"`
}

func newCommandLine(shared *invocation) *commandLine {
	line := &commandLine{
		Table:    newTableCommands(shared),
		Status:   statusCommand{invocation: shared},
		Drain:    drainCommand{invocation: shared},
		Undrain:  undrainCommand{invocation: shared},
		Member:   newMemberCommands(shared),
		Check:    checkCommand{invocation: shared},
		Keys:     newKeysCommands(shared),
		Snapshot: newSnapshotCommands(shared),
		Tenants:  tenantsCommand{invocation: shared},
		Explain:  explainCommand{invocation: shared},
	}
	shared.options = &line.Options
	return line
}

// Run parses the arguments, which exclude the program name, runs the command and
// returns the exit code.
func Run(ctx context.Context, arguments []string, environment Environment) int {
	if environment.Connect == nil {
		environment.Connect = connect
	}
	shared := &invocation{Environment: environment, ctx: ctx}
	parser := flags.NewNamedParser("lotusferryctl", flags.HelpFlag|flags.PassDoubleDash)
	line := newCommandLine(shared)
	if _, err := parser.AddGroup("Application options", "", line); err != nil {
		fmt.Fprintln(environment.Errors, err)
		return ExitInternal
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return usageError(fmt.Sprintf("unexpected argument %q", rest[0]))
		}
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(arguments)
	shared.report(err)
	return exitCode(err)
}

// report prints the error of a command unless the command has already printed it.
func (s *invocation) report(err error) {
	var help *flags.Error
	if stderrors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(s.Output, help.Message)
		return
	}
	var printed *exitError
	if err == nil || stderrors.As(err, &printed) && printed.cause == nil {
		return
	}
	if s.options.JSON {
		s.printErrorJSON(err)
		return
	}
	fmt.Fprintln(s.Errors, "lotusferryctl:", err)
}

// service connects to the site. The returned context ends after Options.Timeout.
func (s *invocation) service() (operatorapi.Service, context.Context, context.CancelFunc, error) {
	service, err := s.Connect(*s.options)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Timeout)
	return service, ctx, cancel, nil
}

func newEditID() structs.EditID { return structs.EditID(uuid.NewString()) }
