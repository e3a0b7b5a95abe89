package daemon

import (
	"context"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/request/answerstore"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// methodDaemonAnswer fetches a stored answer from another daemon.
	methodDaemonAnswer = "Daemon.Answer"
	// answersFile is the name of the answer store in the data directory.
	answersFile = "answers.db"
	// memoryAnswerBytes bounds the answers held in memory, in bytes.
	memoryAnswerBytes = 32 << 20
	// fetchTimeout bounds fetching an answer from another router.
	fetchTimeout = time.Second
	// answerExpiryInterval is the interval between removals of expired answers.
	answerExpiryInterval = time.Minute
)

// AnswerArguments asks a daemon for the answer stored under a key.
type AnswerArguments struct {
	Key structs.ClaimKey
	// Request, if set, restricts the reply to the answer of this request. It is set
	// while the claim is held, because the key may still have the answer of an earlier
	// request.
	Request structs.RequestID
}

// AnswerReply carries the encoded answer, or is empty if the daemon does not store it.
type AnswerReply struct {
	Answer []byte
}

// Answer returns an answer stored by this router.
func (s *DaemonService) Answer(arguments AnswerArguments, reply *AnswerReply) error {
	if s.daemon.router != nil {
		reply.Answer = s.daemon.router.storedAnswer(arguments)
	}
	return nil
}

// answerManager stores one router's answers to requests with keys, and fetches answers
// from other routers.
type answerManager struct {
	logger log.Logger
	own    structs.DaemonID
	client *transport.Client
	store  answerstore.Store

	mutex sync.Mutex
	// pending are the answers being written to the store; pendingBytes is their
	// accounted size.
	pending      map[structs.ClaimKey]answerstore.Answer
	pendingBytes int64
	// late is the number of answers that were not written within saveTimeout.
	late int
	// writing tracks goroutines that wait for the disk.
	writing sync.WaitGroup
}

func newAnswerManager(logger log.Logger, own structs.DaemonID, client *transport.Client, store answerstore.Store) *answerManager {
	return &answerManager{
		logger:  log.With(logger, "component", "answers"),
		own:     own,
		client:  client,
		store:   store,
		pending: map[structs.ClaimKey]answerstore.Answer{},
	}
}

// openAnswers opens the answer store selected by the settings.
func openAnswers(logger log.Logger, settings config.Config) (answerstore.Store, error) {
	limit := settings.Limits.AnswerBytes
	if settings.Limits.AnswersInMemory {
		return answerstore.NewMemory(min(limit, memoryAnswerBytes)), nil
	}
	path := filepath.Join(settings.DataFolder, answersFile)
	store, damaged, err := answerstore.OpenFile(path, limit)
	if err != nil {
		return nil, err
	}
	if damaged != "" {
		level.Warn(logger).Log("component", "answers", "msg", "The answer store was damaged and has been renamed. Its requests do not run again.", "file", damaged)
	}
	return store, nil
}

// advertisedAddress returns the address at which other daemons reach this one, or "" if
// there is none.
func (d *Daemon) advertisedAddress(zone config.Zone) string {
	if own, isMember := memberOf(zone.Controllers, d.config.Daemon); isMember {
		return own.Address
	}
	address, err := netip.ParseAddrPort(d.server.Address())
	if err != nil || address.Addr().IsUnspecified() {
		return ""
	}
	return address.String()
}

// find returns the locally stored answer, or nil.
func (m *answerManager) find(arguments AnswerArguments) []byte {
	m.mutex.Lock()
	answer, found := m.pending[arguments.Key]
	m.mutex.Unlock()
	if !found {
		answer, found = m.store.Get(arguments.Key, time.Now())
	}
	if !found || arguments.Request != "" && answer.Request != arguments.Request {
		return nil
	}
	return answer.Data
}

// fetch asks the holder of a claim for its answer, retrying until it replies or
// fetchTimeout expires.
func (m *answerManager) fetch(ctx context.Context, effect router.FetchAnswer) router.AnswerFetched {
	fetched := router.AnswerFetched{ID: effect.ID}
	arguments := AnswerArguments{Key: effect.Claim.Key}
	if effect.Claim.State == structs.ClaimHeld {
		arguments.Request = effect.Claim.Request
	}
	if effect.Claim.Holder == m.own {
		fetched.Answer = m.find(arguments)
		return fetched
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for {
		var reply AnswerReply
		err := m.client.Call(ctx, effect.Claim.HolderAddress, methodDaemonAnswer, arguments, &reply)
		if err == nil {
			fetched.Answer = reply.Answer
			return fetched
		}
		if !pause.For(ctx, leadercall.RetryDelay) {
			level.Debug(m.logger).Log("msg", "An answer could not be fetched from another router.", "router", effect.Claim.Holder, "err", err)
			fetched.Unreachable = true
			return fetched
		}
	}
}

// expireLoop removes expired answers until ctx is done. It returns then even if the
// disk hangs.
func (m *answerManager) expireLoop(ctx context.Context) {
	for pause.For(ctx, answerExpiryInterval) {
		expired := make(chan struct{})
		m.writing.Go(func() {
			defer close(expired)
			if err := m.store.Expire(time.Now()); err != nil {
				level.Warn(m.logger).Log("msg", "Expired answers could not be removed.", "err", err)
			}
		})
		select {
		case <-expired:
		case <-ctx.Done():
		}
	}
}

// register registers gauges for the stored answers.
func (m *answerManager) register(registry *prometheus.Registry) {
	registerGauge(registry, "lotusferry_router_kept_answers", "Answers to requests with keys that this router keeps.", nil,
		func() float64 { return float64(m.store.Usage().Answers) })
	registerGauge(registry, "lotusferry_router_kept_answer_bytes", "Bytes that kept answers count.", nil,
		func() float64 { return float64(m.store.Usage().Bytes) })
	registerGauge(registry, "lotusferry_router_late_answers", "Answers that the disk has not taken in time; they are in memory only.", nil,
		func() float64 { return float64(m.lateAnswers()) })
}

// storedAnswer returns an answer for another router. Taking the lock first ensures that
// the answer is found by any caller that has already received its last token.
func (r *requestRouter) storedAnswer(arguments AnswerArguments) []byte {
	r.mutex.Lock()
	//lint:ignore SA2001 Waits for a step in progress.
	r.mutex.Unlock()
	return r.answers.find(arguments)
}

// finishClaim stores the answer of a claim and records that the claim has ended. The
// caller must hold r.mutex.
func (r *requestRouter) finishClaim(effect router.FinishClaim) {
	r.answers.addPending(effect)
	r.background(func(ctx context.Context) {
		r.answers.save(ctx, effect)
		r.recordEnd(ctx, effect)
	})
}
