package labcommand

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/platform/soak"
)

// errRuleBroken is returned by a crowded run that broke a rule, after printing its report.
var errRuleBroken = errors.New("a rule was broken")

// crowdCommand runs routers before crowded runners as processes, and checks that no request that was refused runs,
// that none runs twice and that none is lost.
type crowdCommand struct {
	session *session

	Binary      string        `long:"binary" value-name:"FILE" default:"bin/lotusferry" description:"the program under test"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the disruptions"`
	For         time.Duration `long:"for" default:"15s" description:"duration of the run"`
	Lane        int           `long:"lane" default:"0" description:"second byte of the loopback addresses; must differ between concurrent runs"`
	Folder      string        `long:"folder" value-name:"DIR" description:"folder for settings, data and logs; a new temporary folder by default"`
	Controllers int           `long:"controllers" default:"3" description:"number of controllers, 3 or more"`
	Routers     int           `long:"routers" default:"12" description:"number of routers"`
	Runners     int           `long:"runners" default:"4" description:"number of runners"`
	Slots       int           `long:"slots" default:"4" description:"requests that a runner works on at a time"`
	Queue       int           `long:"queue" default:"2" description:"requests that wait at a runner"`
	Callers     int           `long:"callers" default:"72" description:"number of callers"`
	Resumable   int           `long:"resumable" default:"0" description:"callers among these with resumable streams"`
	Idempotent  int           `long:"idempotent" default:"0" description:"callers among these with short idempotent requests"`
	Services    int           `long:"services" default:"1" description:"services that the runners are divided among"`
	Work        time.Duration `long:"work" default:"40ms" description:"mean time that a runner works on a request"`
	StreamTime  time.Duration `long:"stream-length" description:"length of a stream; that of the work by default"`
	Deadline    time.Duration `long:"deadline" default:"4s" description:"deadline of a request"`
	BreakShare  int           `long:"break-share" default:"5" description:"streams in 100 that break off midway"`
	Beat        time.Duration `long:"beat" default:"150ms" description:"interval at which callers send"`
	RetryRatio  float64       `long:"retry-ratio" default:"0.05" description:"share of the requests that routers may send again"`
	RetryExtra  int           `long:"retry-extra" default:"20" description:"number of requests beyond that which routers may send again in 10 s"`
	Busy        int           `long:"busy" default:"0" description:"number of processes beside that keep processors busy"`

	SilenceShare    float64       `long:"silence-share" default:"1" description:"share of the runners that fall silent"`
	SilenceMin      time.Duration `long:"silence-min" default:"500ms" description:"shortest silence"`
	SilenceMax      time.Duration `long:"silence-max" default:"2250ms" description:"longest silence"`
	SilencePauseMin time.Duration `long:"silence-pause-min" default:"1s" description:"shortest time between two silences"`
	SilencePauseMax time.Duration `long:"silence-pause-max" default:"3500ms" description:"longest time between two silences"`
	SilenceCommon   bool          `long:"silence-common" description:"runners fall silent at the same moments"`

	All      bool `long:"all" description:"all disruptions"`
	Extra    bool `long:"extra" description:"runners send answers once more where the next one is due"`
	Lost     bool `long:"lost" description:"runners reset connections after a run"`
	Unmarked bool `long:"unmarked" description:"runners fail requests that ran with 503 or 429"`
	Freeze   bool `long:"freeze" description:"routers and runners stand still for a short time"`
	Restart  bool `long:"restart" description:"routers are stopped, killed and started again"`
	Stop     bool `long:"stop" description:"routers are stopped with SIGTERM and started again"`
	Leave    bool `long:"leave" description:"callers close connections, or their sending side, early"`
	Cut      bool `long:"cut" description:"some routers are cut off from some runners"`
	Silence  bool `long:"silence" description:"runners send nothing for a time and go on"`
	Changes  bool `long:"changes" description:"the configuration changes each second"`
	Streams  bool `long:"streams" description:"answers to requests that may run once are streams of events, some of which break off"`
	Models   bool `long:"models" description:"runners are engines with models, and runs of streams are copied"`
	Regions  bool `long:"regions" description:"processes and runners are in two regions"`

	Spin bool `long:"spin" hidden:"true" description:"keep a processor busy until the standard input ends"`
}

// Execute implements go-flags.Commander.
func (c *crowdCommand) Execute([]string) error {
	if c.Spin {
		soak.Spin(os.Stdin)
		return nil
	}
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the own program")
	}
	folder, err := makeSoakFolder(c.Folder)
	if err != nil {
		return err
	}
	report, err := soak.RunCrowd(c.session.ctx, soak.CrowdOptions{
		Binary: c.Binary, Folder: folder, Seed: c.Seed, Duration: c.For, Lane: c.Lane, Controllers: max(3, c.Controllers), Routers: c.Routers,
		Runners: c.Runners, Callers: c.Callers, Slots: c.Slots, Queue: c.Queue, Work: c.Work, Beat: c.Beat, RetryRatio: c.RetryRatio,
		Resumable: c.Resumable, Idempotent: c.Idempotent, Services: c.Services, StreamLength: c.StreamTime, Deadline: c.Deadline,
		BreakShare: c.BreakShare, RetryExtra: c.RetryExtra, Silence: c.silence(),
		BusyProcesses: c.Busy, BusyCommand: []string{executable, "crowd", "--spin"}, Disruptions: c.disruptions(),
		Log: c.session.logf,
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(c.session.Errors, "logs:", folder)
	if err := report.WriteTable(c.session.Output); err != nil {
		return errors.Wrap(err, "print report")
	}
	if report.IsBroken() {
		return errRuleBroken
	}
	return nil
}

// silence returns the options of silent runners.
func (c *crowdCommand) silence() soak.SilenceOptions {
	if !c.Silence && !c.All {
		return soak.SilenceOptions{}
	}
	return soak.SilenceOptions{
		Share: c.SilenceShare, MinLength: c.SilenceMin, MaxLength: c.SilenceMax, MinPause: c.SilencePauseMin, MaxPause: c.SilencePauseMax,
		IsCommon: c.SilenceCommon,
	}
}

// disruptions returns the chosen disruptions.
func (c *crowdCommand) disruptions() soak.CrowdDisruptions {
	return soak.CrowdDisruptions{
		Extra: c.Extra || c.All, Lost: c.Lost || c.All, Unmarked: c.Unmarked || c.All, Freeze: c.Freeze || c.All,
		Restart: c.Restart || c.All, Stop: c.Stop || c.All, Leave: c.Leave || c.All, Cut: c.Cut || c.All, Changes: c.Changes || c.All, Streams: c.Streams || c.All, Models: c.Models || c.All, Regions: c.Regions || c.All,
	}
}
