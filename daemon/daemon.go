package daemon

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/request/admission"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// globalGroupName is the name of the global group. A zone's group is named
// zoneGroupPrefix followed by the zone ID.
const (
	globalGroupName = "global"
	zoneGroupPrefix = "zone-"
)

type Daemon struct {
	logger    log.Logger
	config    config.Config
	reloader  *keys.Reloader
	apiKeys   *apiKeys
	server    *transport.Server
	client    *transport.Client
	engines   *engineapi.Client
	faults    *transport.Faults
	stores    []*logstore.Store
	global    *globalNode
	zone      *zoneNode
	leader    *zoneLeader
	members   map[string]*memberNode
	router    *requestRouter
	operators *operatorService
	servers   []*httpServer
	options   options
	cancel    context.CancelFunc
	stopped   sync.WaitGroup
	// draining is set when a graceful shutdown begins.
	draining atomic.Bool
	failed   chan error
}

// New opens the daemon's files and listeners, which serve after Start. The API keys are
// reloaded when the file at path changes.
func New(logger log.Logger, settings config.Config, path string) (*Daemon, error) {
	return newDaemon(logger, settings, options{limits: defaultHTTPLimits(), settingsPath: path})
}

// options holds parameters that tests override.
type options struct {
	limits httpLimits
	// settingsPath is the file from which API keys are reloaded; if empty, they never
	// change.
	settingsPath string
	// network is used to listen and dial; nil means TCP.
	network network.Network
	// random returns random numbers that need not be secure; nil means the global
	// source. It must be safe for concurrent use.
	random func() uint64
}

func newDaemon(logger log.Logger, settings config.Config, options options) (*Daemon, error) {
	if options.random == nil {
		options.random = rand.Uint64
	}
	d := &Daemon{
		logger:  log.With(logger, "daemon", settings.Daemon, "zone", settings.Zone),
		config:  settings,
		engines: engineapi.NewClient(engineapi.ClientOptions{Network: options.network}),
		faults:  &transport.Faults{},
		options: options,
		members: map[string]*memberNode{},
		failed:  make(chan error, 1),
	}
	d.logWarnings()
	for _, step := range []func() error{d.openTransport, d.openGlobal, d.openZone, d.openRouter, d.openHTTP} {
		if err := step(); err != nil {
			d.closeOpened()
			return nil, err
		}
	}
	return d, nil
}

// closeOpened closes what a failed start has opened.
func (d *Daemon) closeOpened() {
	for _, opened := range d.servers {
		_ = opened.listener.Close()
	}
	if d.server != nil {
		d.server.Close()
		d.client.Close()
	}
	d.closeFiles()
}

// logWarnings logs the warnings of the settings check.
func (d *Daemon) logWarnings() {
	for _, problem := range d.config.Check() {
		if problem.Warning {
			level.Warn(d.logger).Log("component", "config", "msg", "A setting may be wrong.",
				"key", problem.Key, "value", problem.Value, "problem", problem.Problem, "remedy", problem.Remedy)
		}
	}
}

func (d *Daemon) openTransport() error {
	options := transport.Options{Address: d.config.Listen.Internal, Network: d.options.network, Random: d.options.random, Faults: d.faults}
	if !d.config.Development {
		if err := d.loadKeys(); err != nil {
			return err
		}
		options.ServerTLS = d.reloader.ServerConfig()
		options.PeerTLS = d.peerTLS
	}
	server, err := transport.NewServer(d.logger, options)
	if err != nil {
		return listenError("listen.internal", options.Address, err)
	}
	d.server = server
	d.client = transport.NewClient(d.logger, options)
	if err := server.Register("Member", &MemberService{daemon: d.config.Daemon, nodes: d.members}); err != nil {
		return err
	}
	if err := server.Register("Daemon", &DaemonService{daemon: d}); err != nil {
		return err
	}
	if d.config.Development {
		return server.Register("Fault", &FaultService{faults: d.faults})
	}
	return nil
}

// openGlobal opens the member of the global group if this daemon is a voter.
func (d *Daemon) openGlobal() error {
	own, isVoter := memberOf(d.config.Site.GlobalVoters, d.config.Daemon)
	if isVoter && d.config.HasRole(config.RoleController) {
		options, err := d.groupOptions(globalGroupName, own, d.config.Site.GlobalVoters)
		if err != nil {
			return err
		}
		if d.global, err = newGlobalNode(d.logger, d.config.Site, options); err != nil {
			return err
		}
		d.members[globalGroupName] = d.newMemberNode(globalGroupName, d.global.group, own, d.config.Site.GlobalVoters)
		if err := d.server.Register("Global", &GlobalService{node: d.global}); err != nil {
			return err
		}
	}
	d.operators = &operatorService{
		site:   d.config.Site,
		client: d.client,
		global: leadercall.New(d.client, memberAddresses(d.config.Site.GlobalVoters)),
		local:  &DaemonService{daemon: d},
	}
	return nil
}

// openZone opens the member of the zone's group if this daemon is a controller.
func (d *Daemon) openZone() error {
	settings, _ := d.config.Site.ZoneByID(d.config.Zone)
	own, isMember := memberOf(settings.Controllers, d.config.Daemon)
	if !isMember || !d.config.HasRole(config.RoleController) {
		return nil
	}
	name := zoneGroupPrefix + string(settings.ID)
	options, err := d.groupOptions(name, own, settings.Controllers)
	if err != nil {
		return err
	}
	if d.zone, err = newZoneNode(d.logger, settings, options); err != nil {
		return err
	}
	d.zone.claims = newClaimBatcher(settings.ID, d.config.Site.ZoneIDs(), d.zone.propose)
	d.members[name] = d.newMemberNode(name, d.zone.group, own, settings.Controllers)
	if err := d.server.Register("Zone", &ZoneService{node: d.zone}); err != nil {
		return err
	}
	d.leader = d.newZoneLeader(settings)
	d.zone.observer = d.leader.observer
	return nil
}

func (d *Daemon) newZoneLeader(settings config.Zone) *zoneLeader {
	return &zoneLeader{
		logger:      log.With(d.logger, "component", "leader"),
		node:        d.zone,
		core:        controller.New(controller.Options{Zone: settings.ID, Settings: d.config.Site.PlanSettings()}),
		observer:    newEngineObserver(d.logger, settings.ID, hostOf(d.config.Site.MachineList), d.engines, d.config.Timing),
		engines:     d.engines,
		inquiries:   &claimInquiries{logger: log.With(d.logger, "component", "inquiries"), engines: d.engines},
		global:      leadercall.New(d.client, memberAddresses(d.config.Site.GlobalVoters)),
		timing:      d.config.Timing,
		storeBudget: storeShare(d.config.Site, settings),
	}
}

func (d *Daemon) openRouter() error {
	if !d.config.HasRole(config.RoleRouter) {
		return nil
	}
	settings, _ := d.config.Site.ZoneByID(d.config.Zone)
	answers, err := openAnswers(d.logger, d.config)
	if err != nil {
		return err
	}
	holder := structs.ClaimHolder{Daemon: d.config.Daemon, Session: newSession(d.options.random)}
	seed := seedOf("router", d.config.Daemon)
	d.router = &requestRouter{
		logger:   log.With(d.logger, "component", "router"),
		site:     d.config.Site,
		zone:     d.config.Zone,
		daemon:   d.config.Daemon,
		engines:  d.engines,
		peers:    newPeerRouters(d.options.network, d.reloader, d.faults),
		leader:   leadercall.New(d.client, memberAddresses(settings.Controllers)),
		claims:   newClaimManager(d.logger, d.client, d.config.Site, d.config.Zone, holder),
		answers:  newAnswerManager(d.logger, d.config.Daemon, d.client, answers),
		timing:   d.config.Timing,
		calls:    map[structs.RequestID]*call{},
		attempts: map[router.AttemptID]*attempt{},
		followed: map[structs.RunnerID]*followedEngine{},
		metrics:  newRequestMetrics(),
		viewStore: viewStore{
			zone:        d.config.Zone,
			basePath:    filepath.Join(d.config.DataFolder, viewBaseFile),
			changesPath: filepath.Join(d.config.DataFolder, viewChangesFile),
		},
		core: router.New(router.Options{
			Zone:            d.config.Zone,
			Daemon:          d.config.Daemon,
			Address:         d.advertisedAddress(settings),
			Session:         holder.Session,
			Zones:           d.config.Site.ZoneIDs(),
			Random:          rand.New(rand.NewPCG(seed, d.options.random())),
			QueueLimit:      d.config.Limits.QueuePerRow,
			CallerTokens:    tokensPerMinute(d.config.Limits.CallerTokensPerMinute),
			RowTokens:       tokensPerMinute(d.config.Limits.RowTokensPerMinute),
			DefaultDeadline: d.config.Limits.DefaultDeadline,
			AnswerTTL:       d.config.Limits.ClaimRetention,
		}),
	}
	d.router.relay = controller.NewReportRelay(d.config.Daemon, d.config.Timing.ReportInterval)
	d.router.view = router.NewViewCopy(d.router.core)
	d.router.loadView()
	d.router.unrecorded = d.router.answers.unrecorded(d.config.Site.ZoneIDs())
	return nil
}

// tokensPerMinute returns a rate limit with a burst of one minute's tokens.
func tokensPerMinute(tokens int) admission.TokenRate {
	return admission.TokenRate{PerSecond: float64(tokens) / time.Minute.Seconds(), Burst: float64(tokens)}
}

// Start starts serving.
func (d *Daemon) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.stopped.Go(d.server.Serve)
	if d.global != nil {
		d.runGroup(ctx, globalGroupName, d.global.group)
		d.stopped.Go(func() { d.global.registerZones(ctx) })
	}
	if d.zone != nil {
		d.runGroup(ctx, zoneGroupPrefix+string(d.zone.id), d.zone.group)
		d.stopped.Go(func() { d.leader.run(ctx) })
	}
	for _, member := range d.members {
		d.stopped.Go(func() { member.run(ctx) })
	}
	if d.router != nil {
		d.router.ctx = ctx
		d.stopped.Go(func() { d.router.run(ctx) })
	}
	for _, server := range d.servers {
		d.stopped.Go(func() { server.serve(d.logger) })
	}
	level.Info(d.logger).Log("component", "daemon", "msg", "The daemon is serving.", "callers", d.config.Listen.Callers,
		"operators", d.config.Listen.Operators, "internal", d.server.Address())
}

// runGroup runs a group. A storage failure terminates the daemon, because a member that
// cannot sync its log must not reply.
func (d *Daemon) runGroup(ctx context.Context, name string, member *group.Group) {
	d.stopped.Go(func() {
		err := member.Run(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		level.Error(d.logger).Log("component", "daemon", "msg", "A group failed.", "group", name, "err", err)
		select {
		case d.failed <- errors.Wrap(err, "run group "+name):
		default:
		}
	})
}

// Failed returns a channel that receives the error that stopped the daemon.
func (d *Daemon) Failed() <-chan error { return d.failed }

func (d *Daemon) groups() []*group.Group {
	var list []*group.Group
	if d.global != nil {
		list = append(list, d.global.group)
	}
	if d.zone != nil {
		list = append(list, d.zone.group)
	}
	return list
}

// Close closes the daemon without draining. HTTP servers shut down gracefully while ctx
// lasts.
func (d *Daemon) Close(ctx context.Context) {
	for _, server := range d.servers {
		server.close(ctx)
	}
	if d.cancel != nil {
		d.cancel()
	}
	d.server.Close()
	d.client.Close()
	d.stopped.Wait()
	if d.router != nil {
		d.router.running.Wait()
	}
	d.closeFiles()
}

func (d *Daemon) closeFiles() {
	for _, store := range d.stores {
		if err := store.Close(); err != nil {
			level.Error(d.logger).Log("component", "daemon", "msg", "A store could not be closed.", "err", err)
		}
	}
	if d.router != nil {
		d.router.answers.close()
	}
	d.engines.Close()
}
