package domainnode

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/peers"
)

// rosterSettleTime is how long after it began a leader sends no peers: routers announce themselves in that time, and
// keep the peers that they have.
const rosterSettleTime = 3 * time.Second

// hasSettledRoster reports whether most routers have announced themselves. The caller holds the mutex.
func (l *leadership) hasSettledRoster() bool { return l.now().Sub(l.startedAt) >= rosterSettleTime }

// observePeer records what a report tells of its router as a peer of others. The caller holds the mutex.
func (l *leadership) observePeer(report *domainapi.DemandArguments) {
	l.peers.Set(peers.Peer{Router: report.Router, Address: report.Tunnel, Zone: report.Zone, IsCutOff: report.IsCutOff})
	l.node.metrics.peerRouters.Set(float64(l.peers.Len()))
}

// peersFor returns the peers of a router, or nil if it uses none or has the current ones.
func (l *leadership) peersFor(arguments *domainapi.WatchArguments) *peers.Selection {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if arguments.Peers == 0 || !l.hasSettledRoster() || arguments.Term == uint64(l.term) && arguments.Peers == l.peers.Version() {
		return nil
	}
	selected := l.peers.Select(arguments.Router)
	return &selected
}

// fillRoster sets the routers that relays select peers from, unless the relay has them. The caller holds the
// mutex.
func (l *leadership) fillRoster(arguments *domainapi.MirrorArguments, reply *domainapi.MirrorReply) {
	if arguments.Roster == 0 || !l.hasSettledRoster() || arguments.Term == uint64(l.term) && arguments.Roster == l.peers.Version() {
		return
	}
	list := l.peers.List()
	reply.Roster = &list
}
