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
	// methodDaemonAnswer asks the daemon that keeps an answer for it.
	methodDaemonAnswer = "Daemon.Answer"
	// answersFile is the store's name in the data folder.
	answersFile = "answers.db"
	// memoryAnswerBytes bounds the answers that are kept in memory.
	memoryAnswerBytes = 32 << 20
	// fetchTimeout bounds asking another router for an answer.
	fetchTimeout = time.Second
	// answerExpiryInterval is how often answers whose time is over are removed.
	answerExpiryInterval = time.Minute
)

// AnswerArguments asks a daemon for the answer that it keeps under a key.
type AnswerArguments struct {
	Key structs.ClaimKey
	// Request, if set, is the request that alone counts: its claim is still held, and
	// an answer of an earlier life of the key is another one.
	Request structs.RequestID
}

// AnswerReply has the encoded answer; it is empty when the daemon does not keep it.
type AnswerReply struct {
	Answer []byte
}

// Answer gives another router an answer that this one keeps.
func (s *DaemonService) Answer(arguments AnswerArguments, reply *AnswerReply) error {
	if s.daemon.router != nil {
		reply.Answer = s.daemon.router.keptAnswer(arguments)
	}
	return nil
}

// answerKeeper keeps the answers of one router to requests with keys, and fetches
// those of others.
type answerKeeper struct {
	logger log.Logger
	own    structs.DaemonID
	client *transport.Client
	store  answerstore.Store

	mutex sync.Mutex
	// fresh are the answers on their way into the store, freshBytes what they count.
	fresh      map[structs.ClaimKey]answerstore.Answer
	freshBytes int64
	// late counts the answers that the store has not taken within saveTimeout.
	late int
	// writing holds what waits for the disk.
	writing sync.WaitGroup
}

func newAnswerKeeper(logger log.Logger, own structs.DaemonID, client *transport.Client, store answerstore.Store) *answerKeeper {
	return &answerKeeper{
		logger: log.With(logger, "component", "answers"),
		own:    own,
		client: client,
		store:  store,
		fresh:  map[structs.ClaimKey]answerstore.Answer{},
	}
}

// openAnswers opens the store of a router's answers.
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
		level.Warn(logger).Log("component", "answers", "msg", "The kept answers cannot be read and were set aside. Their requests do not run again.", "file", damaged)
	}
	return store, nil
}

// advertisedAddress is where other daemons call this one, or empty when they cannot.
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

// find returns the answer that is kept here, or nothing.
func (k *answerKeeper) find(arguments AnswerArguments) []byte {
	k.mutex.Lock()
	answer, found := k.fresh[arguments.Key]
	k.mutex.Unlock()
	if !found {
		answer, found = k.store.Get(arguments.Key, time.Now())
	}
	if !found || arguments.Request != "" && answer.Request != arguments.Request {
		return nil
	}
	return answer.Data
}

// fetch asks the holder of a claim for its answer, again and again until it
// answers or fetchTimeout is over.
func (k *answerKeeper) fetch(ctx context.Context, effect router.FetchAnswer) router.AnswerFetched {
	fetched := router.AnswerFetched{ID: effect.ID}
	arguments := AnswerArguments{Key: effect.Claim.Key}
	if effect.Claim.State == structs.ClaimHeld {
		arguments.Request = effect.Claim.Request
	}
	if effect.Claim.Holder == k.own {
		fetched.Answer = k.find(arguments)
		return fetched
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for {
		var reply AnswerReply
		err := k.client.Call(ctx, effect.Claim.HolderAddress, methodDaemonAnswer, arguments, &reply)
		if err == nil {
			fetched.Answer = reply.Answer
			return fetched
		}
		if !pause.For(ctx, leadercall.RetryDelay) {
			level.Debug(k.logger).Log("msg", "A router did not say whether it keeps an answer.", "router", effect.Claim.Holder, "err", err)
			fetched.Unreachable = true
			return fetched
		}
	}
}

// expireLoop removes answers whose time is over until ctx ends; it does not wait for a
// disk that hangs longer than that.
func (k *answerKeeper) expireLoop(ctx context.Context) {
	for pause.For(ctx, answerExpiryInterval) {
		expired := make(chan struct{})
		k.writing.Go(func() {
			defer close(expired)
			if err := k.store.Expire(time.Now()); err != nil {
				level.Warn(k.logger).Log("msg", "Answers whose time is over could not be removed.", "err", err)
			}
		})
		select {
		case <-expired:
		case <-ctx.Done():
		}
	}
}

// register serves how many answers are kept as metrics.
func (k *answerKeeper) register(registry *prometheus.Registry) {
	registerGauge(registry, "lotusferry_router_kept_answers", "Answers to requests with keys that this router keeps.", nil,
		func() float64 { return float64(k.store.Usage().Answers) })
	registerGauge(registry, "lotusferry_router_kept_answer_bytes", "Bytes that kept answers count.", nil,
		func() float64 { return float64(k.store.Usage().Bytes) })
	registerGauge(registry, "lotusferry_router_late_answers", "Answers that the disk has not taken in time; they are in memory only.", nil,
		func() float64 { return float64(k.lateAnswers()) })
}

// keptAnswer finds an answer for another router. Whoever asks because a caller has
// the last token of an answer finds it: the lock lasts from the delivery of the token
// until the answer is held.
func (r *requestRouter) keptAnswer(arguments AnswerArguments) []byte {
	r.mutex.Lock()
	//lint:ignore SA2001 Waits for the step under way.
	r.mutex.Unlock()
	return r.answers.find(arguments)
}

// finishClaim keeps the answer of a claim and records its end. It is called under
// the router's lock.
func (r *requestRouter) finishClaim(effect router.FinishClaim) {
	r.answers.hold(effect)
	r.background(func(ctx context.Context) {
		r.answers.save(ctx, effect)
		r.recordEnd(ctx, effect)
	})
}
