package daemon

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/api"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/controller"
	"github.com/lotusferry/lotusferry/engineapi"
	"github.com/lotusferry/lotusferry/group"
	"github.com/lotusferry/lotusferry/keys"
	"github.com/lotusferry/lotusferry/logstore"
	"github.com/lotusferry/lotusferry/raft"
	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/lotusferry/lotusferry/transport"
)

// globalGroupName names the global group in logs, files and messages; a zone's
// group is named zoneGroupPrefix and the zone.
const (
	globalGroupName = "global"
	zoneGroupPrefix = "zone-"
)

// Daemon is one lotusferry process.
type Daemon struct {
	logger    log.Logger
	config    config.Config
	reloader  *keys.Reloader
	server    *transport.Server
	client    *transport.Client
	engines   *engineapi.Client
	faults    *transport.Faults
	stores    []*logstore.Store
	global    *globalNode
	zone      *zoneNode
	leader    *zoneLeader
	router    *requestRouter
	operators *operatorService
	servers   []*httpServer
	cancel    context.CancelFunc
	stopped   sync.WaitGroup
	failed    chan error
}

// New opens the daemon's files and listeners. Nothing runs before Start.
func New(logger log.Logger, settings config.Config) (*Daemon, error) {
	d := &Daemon{
		logger:  log.With(logger, "daemon", settings.Daemon, "zone", settings.Zone),
		config:  settings,
		engines: engineapi.NewClient(engineapi.ClientOptions{}),
		faults:  &transport.Faults{},
		failed:  make(chan error, 1),
	}
	for _, step := range []func() error{d.openTransport, d.openGlobal, d.openZone, d.openRouter, d.openHTTP} {
		if err := step(); err != nil {
			d.closeFiles()
			return nil, err
		}
	}
	return d, nil
}

func (d *Daemon) openTransport() error {
	options := transport.Options{Address: d.config.Listen.Internal, Faults: d.faults}
	if !d.config.Development {
		reloader, err := keys.NewReloader(d.logger, keys.Files{
			CA:          d.config.TLS.CA,
			Certificate: d.config.TLS.Certificate,
			Key:         d.config.TLS.Key,
		}, keys.Options{Zones: d.config.Site.ZoneIDs()})
		if err != nil {
			return errors.Wrap(err, "load the keys")
		}
		d.reloader = reloader
		options.ServerTLS = reloader.ServerConfig()
		options.ClientTLS = reloader.ClientConfig("")
	}
	server, err := transport.NewServer(d.logger, options)
	if err != nil {
		return errors.Wrap(err, "listen for other daemons")
	}
	d.server = server
	d.client = transport.NewClient(d.logger, options)
	if d.config.Development {
		return server.Register("Fault", &FaultService{faults: d.faults})
	}
	return nil
}

// openGlobal opens the member of the global group, when this daemon is a voter.
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
		if err := d.server.Register("Global", &GlobalService{node: d.global}); err != nil {
			return err
		}
	}
	d.operators = &operatorService{
		site:   d.config.Site,
		client: d.client,
		global: newLeaderCaller(d.client, memberAddresses(d.config.Site.GlobalVoters)),
	}
	return nil
}

// openZone opens the member of the zone's group, when this daemon is a controller.
func (d *Daemon) openZone() error {
	settings, _ := d.config.Site.ZoneByID(d.config.Zone)
	own, isMember := memberOf(settings.Controllers, d.config.Daemon)
	if !isMember || !d.config.HasRole(config.RoleController) {
		return nil
	}
	options, err := d.groupOptions(zoneGroupPrefix+string(settings.ID), own, settings.Controllers)
	if err != nil {
		return err
	}
	if d.zone, err = newZoneNode(d.logger, settings, options); err != nil {
		return err
	}
	if err := d.server.Register("Zone", &ZoneService{node: d.zone}); err != nil {
		return err
	}
	d.leader = d.newZoneLeader(settings)
	return nil
}

func (d *Daemon) newZoneLeader(settings config.Zone) *zoneLeader {
	return &zoneLeader{
		logger:      log.With(d.logger, "component", "leader"),
		node:        d.zone,
		core:        controller.New(controller.Options{Zone: settings.ID}),
		observer:    newEngineObserver(d.logger, settings.ID, hostOf(d.config.Site.MachineList), d.engines, d.config.Timing),
		engines:     d.engines,
		global:      newLeaderCaller(d.client, memberAddresses(d.config.Site.GlobalVoters)),
		timing:      d.config.Timing,
		storeBudget: storeShare(d.config.Site, settings),
	}
}

// hostOf returns the host and port of a checked URL, as engineapi wants it.
func hostOf(checked string) string {
	parsed, err := url.Parse(checked)
	if err != nil {
		return checked
	}
	return parsed.Host
}

// storeShare is the zone's part of the loads that the weight store serves at
// full speed at once, by the zones' weights; at least one.
func storeShare(site config.Site, own config.Zone) int {
	total := 0
	for _, zone := range site.Zones {
		total += zone.Weight
	}
	if total == 0 {
		return 1
	}
	return max(1, site.StoreConcurrent*own.Weight/total)
}

func memberOf(members []config.Member, daemon structs.DaemonID) (config.Member, bool) {
	for _, member := range members {
		if member.Daemon == daemon {
			return member, true
		}
	}
	return config.Member{}, false
}

func (d *Daemon) groupOptions(name string, own config.Member, members []config.Member) (group.Options, error) {
	node := raft.NodeID(own.Node)
	path := filepath.Join(d.config.DataFolder, name+".db")
	store, err := logstore.Open(path, logstore.Identity{Group: name, Daemon: d.config.Daemon, Node: node})
	if err != nil {
		return group.Options{}, err
	}
	d.stores = append(d.stores, store)
	options := group.Options{
		Name:           name,
		Node:           node,
		Store:          store,
		Client:         d.client,
		Server:         d.server,
		TickInterval:   d.config.Timing.TickInterval,
		ElectionTicks:  d.config.Timing.ElectionTicks,
		HeartbeatTicks: d.config.Timing.HeartbeatTicks,
		Seed:           seedOf(name, d.config.Daemon),
	}
	for _, member := range members {
		options.Members = append(options.Members, group.Member{Node: raft.NodeID(member.Node), Address: member.Address})
		options.Bootstrap.Voters = append(options.Bootstrap.Voters, raft.NodeID(member.Node))
	}
	return options, nil
}

// seedOf gives each member of each group its own random election timeouts.
func seedOf(name string, daemon structs.DaemonID) uint64 {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(name + "/" + string(daemon)))
	return hash.Sum64()
}

func (d *Daemon) openRouter() error {
	if !d.config.HasRole(config.RoleRouter) {
		return nil
	}
	settings, _ := d.config.Site.ZoneByID(d.config.Zone)
	seed := seedOf("router", d.config.Daemon)
	d.router = &requestRouter{
		logger:   log.With(d.logger, "component", "router"),
		site:     d.config.Site,
		zone:     d.config.Zone,
		daemon:   d.config.Daemon,
		engines:  d.engines,
		peers:    api.NewClient(newPeerClient()),
		leader:   newLeaderCaller(d.client, memberAddresses(settings.Controllers)),
		timing:   d.config.Timing,
		calls:    map[structs.RequestID]*call{},
		attempts: map[router.AttemptID]*attempt{},
		rows:     map[structs.RowName]structs.Row{},
		core: router.New(router.Options{
			Zone:            d.config.Zone,
			Daemon:          d.config.Daemon,
			Zones:           d.config.Site.ZoneIDs(),
			Random:          rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))),
			QueueLimit:      d.config.Limits.QueuePerRow,
			DefaultDeadline: d.config.Limits.DefaultDeadline,
			AnswerLife:      d.config.Limits.ClaimRetention,
		}),
	}
	return nil
}

// newPeerClient makes the HTTP client that forwards to routers of other zones.
// It has no overall timeout because answers are streams.
func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost:   64,
		IdleConnTimeout:       90 * time.Second,
		ResponseHeaderTimeout: 15 * time.Minute,
	}}
}

// Start begins to serve.
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
	if d.router != nil {
		d.router.ctx = ctx
		d.stopped.Go(func() { d.router.run(ctx) })
	}
	for _, server := range d.servers {
		d.stopped.Go(func() { server.serve(d.logger) })
	}
	level.Info(d.logger).Log("msg", "The daemon serves.", "callers", d.config.Listen.Callers,
		"operators", d.config.Listen.Operators, "internal", d.server.Address())
}

// runGroup runs a group; a failure of its storage ends the daemon, because a
// member that cannot sync must not answer.
func (d *Daemon) runGroup(ctx context.Context, name string, member *group.Group) {
	d.stopped.Go(func() {
		err := member.Run(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		level.Error(d.logger).Log("msg", "A group stopped.", "group", name, "err", err)
		select {
		case d.failed <- errors.Wrap(err, "run group "+name):
		default:
		}
	})
}

// Failed returns a channel that gives the error after which the daemon cannot go on.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Stop is a planned stop: new requests are refused, those in progress finish
// while ctx lasts, leadership is handed over, then everything is closed. It
// returns how many requests were cut because ctx ended.
func (d *Daemon) Stop(ctx context.Context) int {
	cut := 0
	if d.router != nil {
		cut = d.router.drain(ctx)
	}
	d.handOver(ctx)
	d.Close(ctx)
	return cut
}

// handOver transfers leadership of the groups that this daemon leads.
func (d *Daemon) handOver(ctx context.Context) {
	for _, member := range d.groups() {
		if !member.Status().IsLeader {
			continue
		}
		if err := member.TransferLeadership(ctx); err != nil {
			level.Warn(d.logger).Log("msg", "Leadership could not be handed over.", "err", err)
		}
	}
}

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

// Close ends everything at once, as far as ctx allows in order.
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
			level.Error(d.logger).Log("msg", "A store could not be closed.", "err", err)
		}
	}
	d.engines.Close()
}
