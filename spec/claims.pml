/*
 * A request with an idempotency key runs at most once. Written after zone/claim.go,
 * zone/finishedclaims.go, zone/released.go, router/claim.go, router/finish.go,
 * daemon/claimanswers.go, daemon/claimrecovery.go and controller/claims.go.
 *
 * The caller sends request 0 and may send it again, as request 1 with the same key,
 * to another router at any time. The home zone's claim table is one process:
 * consensus.pml proves its log. A begin of a claim goes through at once, or is kept
 * by the network and arrives later, also repeatedly. What a router sends to an
 * engine runs at once, late, or never; the router learns the outcome or not. Routers
 * die at any time.
 *
 * The home zone's leader suspects any holder at any time, rightly or wrongly. A claim
 * without a chosen engine it releases. Otherwise it asks the engine, which refuses the
 * attempt from then on; a claim ends as not run only if the attempt has not run.
 *
 * The zone knows only that a request finished. Its router keeps the answer from the
 * moment it has the whole of it, and may lose it at any time after its end or death. A
 * resend asks that router, also while the claim is still held. A router that died and
 * still has the answer on its disk records the end after its restart, at any time and
 * repeatedly: the zone takes it only while the claim is held.
 *
 * check
 *
 * broken NO_CLAIM breaks AtMostOnce
 * broken CLAIM_TAKEN_OVER breaks AtMostOnce
 * broken RETRY_UNCERTAIN breaks AtMostOnce
 * broken RELEASE_UNCERTAIN breaks NotRunIsTrue
 * broken EXPIRE_HELD breaks AtMostOnce
 * broken FORGET_RELEASED breaks KeyIsReleased
 * broken REPLAY_UNFINISHED breaks ReplayIsTheAnswer
 * broken DONE_WHILE_HELD breaks DoneIsTrue
 * broken FORGET_FINISHED breaks AtMostOnce
 * broken FINISH_UNKNOWN breaks UnknownIsForGood
 * broken DISPATCH_UNBOUND breaks AtMostOnce
 * broken RESOLVE_BLIND breaks AtMostOnce
 * broken RESOLVE_WITHOUT_CANCEL breaks AtMostOnce
 * broken RESOLVE_OTHER_CHOICE breaks AtMostOnce
 */
#define REQUESTS 2
#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 2
#endif
#define NOBODY 255
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif

bool AtMostOnce = true;        /* a key's request runs at most once */
bool NotRunIsTrue = true;      /* a request refused as not run has not run and never will */
bool KeyIsReleased = true;     /* no claim is held for a request that the zone released as not run */
bool ReplayIsTheAnswer = true; /* an answer is that of the key's one run */
bool UnknownIsForGood = true;  /* a claim that ended as unknown never finishes */
bool DoneIsTrue = true;        /* a request refused because its key's request ran: it did */

mtype:claim = { ClaimNone, ClaimHeld, ClaimFinished, ClaimUnknown };
mtype:phase = { Idle, Beginning, Fetching, Claimed, Dispatched, Uncertain, Releasing, Finishing, Over, Dead };
mtype:answer = { NoAnswer, NotRun, Answer, Done, OutcomeUnknown };

typedef Request {
	mtype:phase phase = Idle;
	mtype:answer answer = NoAnswer;
	byte attempts;
	byte travelling; /* a bit for each attempt that may yet reach its engine */
	byte cancelled;  /* a bit for each attempt that its engine refuses from now on */
	bool named;      /* its begin names the engine of the first attempt */
	bool beginKept;  /* the network keeps a begin of the claim */
	bool ran;
	bool finished;   /* the claim that it found had finished */
	bool kept;       /* its router has the whole answer */
	bool released;   /* remembered by the zone as not run */
	bool finishing;  /* the finish of the claim is on its way */
	bool releasing;  /* the release of the claim is on its way */
};

mtype:claim claim = ClaimNone;
byte holder = NOBODY;
byte choice; /* the attempt that the holder chose an engine for, 0 for none */
byte runs;
bool endedUnknown; /* callers may have been told that the outcome is unknown, for good */
Request requests[REQUESTS];

#define me requests[self]
#define bit(n) (1 << (n))
#define other (1 - self) /* the request whose claim a resend finds */

/* ClaimBegin is the zone's: it makes a claim if there is none. */
inline ClaimBegin(q) {
	if
#ifdef BROKEN_FORGET_RELEASED
	:: claim == ClaimNone ->
#else
	:: claim == ClaimNone && !requests[q].released ->
#endif
		claim = ClaimHeld;
		holder = q;
		choice = requests[q].named; /* attempt 1, or none */
		always(KeyIsReleased, !requests[q].released)
	:: else
	fi
}

/* ClaimFinish ends the request's held claim with its outcome. */
inline ClaimFinish(q, outcome) {
	if
	:: claim == ClaimHeld && holder == q ->
		claim = outcome;
		endedUnknown = endedUnknown || outcome == ClaimUnknown
#ifdef BROKEN_FINISH_UNKNOWN
	:: claim == ClaimUnknown && holder == q -> claim = outcome
#endif
	:: else
	fi;
	always(UnknownIsForGood, !endedUnknown || claim == ClaimUnknown)
}

/* ClaimRelease removes the request's claim, if there is one, and remembers the request. */
inline ClaimRelease(q) {
	if
	:: claim == ClaimHeld && holder == q -> claim = ClaimNone; holder = NOBODY; choice = 0
	:: else
	fi;
	requests[q].released = true
}

/* RunRequest is the engine's, when an attempt reaches it. */
inline RunRequest(q) {
	requests[q].ran = true;
	runs++;
	always(AtMostOnce, runs <= 1);
	always(NotRunIsTrue, requests[q].answer != NotRun)
}

inline answerCaller(given) {
	me.answer = given;
	me.phase = Over;
	always(NotRunIsTrue, given != NotRun || !me.ran);
	always(ReplayIsTheAnswer, given != Answer || runs == 1);
	always(DoneIsTrue, given != Done || runs == 1)
}

#ifdef BROKEN_CLAIM_TAKEN_OVER
#define holdsClaim (claim == ClaimHeld)
#else
#define holdsClaim (claim == ClaimHeld && holder == self)
#endif

/* Router is the life of one request with a key. */
proctype Router(byte self) {
end:
	do
	:: atomic { me.phase == Idle -> me.phase = Beginning }
	/* An engine is free. */
	:: atomic { me.phase == Idle -> me.phase = Beginning; me.named = true; me.attempts = 1 }
	/* The begin is sent; the network may keep a copy. */
	:: atomic { me.phase == Beginning && !me.beginKept -> me.beginKept = true }
#ifdef BROKEN_NO_CLAIM
	:: atomic { me.phase == Beginning -> me.phase = Claimed }
#endif
	:: atomic {
		me.phase == Beginning ->
		ClaimBegin(self);
		if
		:: holdsClaim && !me.named -> me.phase = Claimed
		:: holdsClaim && me.named -> me.travelling = bit(1); me.phase = Dispatched
		:: !holdsClaim && claim == ClaimFinished -> me.phase = Fetching; me.finished = true
		:: !holdsClaim && claim == ClaimUnknown -> answerCaller(OutcomeUnknown)
#ifdef BROKEN_REPLAY_UNFINISHED
		:: !holdsClaim && claim == ClaimHeld -> answerCaller(Answer)
#else
		/* Another request holds the key: it may run, or have run. */
		:: !holdsClaim && claim == ClaimHeld -> me.phase = Fetching
#endif
		:: !holdsClaim && claim == ClaimNone -> me.phase = Releasing
		fi
	}
	/* The other request's router has the answer. */
	:: atomic { me.phase == Fetching && requests[other].kept -> answerCaller(Answer) }
	/* It does not, or cannot be reached. */
#ifdef BROKEN_DONE_WHILE_HELD
	:: atomic { me.phase == Fetching -> answerCaller(Done) }
#else
	:: atomic { me.phase == Fetching && me.finished -> answerCaller(Done) }
	:: atomic { me.phase == Fetching && !me.finished -> answerCaller(OutcomeUnknown) }
#endif
	/* The answer is lost with a disk, or made place for others. */
	:: atomic { me.kept && (me.phase == Over || me.phase == Dead) -> me.kept = false }
	/* The zone does not answer, or no engine is free: give up before anything was sent. */
	:: atomic { me.phase == Beginning || me.phase == Claimed -> me.phase = Releasing }
	/* The choice of an engine is in the claim before the request is sent there. */
	:: atomic {
		me.phase == Claimed && me.attempts < MAX_ATTEMPTS ->
		me.attempts++;
		if
#ifdef BROKEN_DISPATCH_UNBOUND
		:: me.travelling = me.travelling | bit(me.attempts); me.phase = Dispatched
#elif defined(BROKEN_NO_CLAIM)
		:: me.travelling = me.travelling | bit(me.attempts); me.phase = Dispatched
#else
		:: holdsClaim ->
			choice = me.attempts;
			me.travelling = me.travelling | bit(me.attempts);
			me.phase = Dispatched
		:: !holdsClaim -> me.phase = Releasing
#endif
		fi
	}
	/* The engine refuses the attempt as not run. */
	:: atomic {
		me.phase == Dispatched && (me.travelling & bit(me.attempts)) ->
		me.travelling = me.travelling & ~bit(me.attempts);
		me.phase = Claimed
	}
	/* The engine's whole answer arrives. */
	:: atomic { me.phase == Dispatched && me.ran -> me.phase = Finishing; me.kept = true }
	/* The connection breaks, or the deadline comes: nobody knows. */
	:: atomic { me.phase == Dispatched -> me.phase = Uncertain }
#ifdef BROKEN_RETRY_UNCERTAIN
	:: atomic { me.phase == Uncertain && me.attempts < MAX_ATTEMPTS -> me.phase = Claimed }
#endif
#ifdef BROKEN_RELEASE_UNCERTAIN
	:: atomic { me.phase == Uncertain -> me.phase = Releasing }
#endif
	:: atomic { me.phase == Uncertain -> ClaimFinish(self, ClaimUnknown); answerCaller(OutcomeUnknown) }
	/* The zone does not answer: the claim stays held. */
	:: atomic { me.phase == Uncertain -> answerCaller(OutcomeUnknown) }
	/* The caller is answered at once; what ends the claim is on its way. */
	:: atomic { me.phase == Releasing -> me.releasing = true; answerCaller(NotRun) }
	:: atomic { me.phase == Finishing -> me.finishing = true; answerCaller(Answer) }
	:: atomic { me.releasing -> me.releasing = false; ClaimRelease(self) }
	:: atomic { me.finishing -> me.finishing = false; ClaimFinish(self, ClaimFinished) }
	/* The router dies before the message leaves. */
	:: atomic { me.releasing -> me.releasing = false; me.phase = Dead }
	:: atomic { me.finishing -> me.finishing = false; me.phase = Dead }
	:: atomic { me.phase != Idle && me.phase != Over && me.phase != Dead -> me.phase = Dead }
	/* It restarts with its disk. */
	:: atomic { me.phase == Dead && me.kept && !me.finishing -> me.finishing = true }
	:: atomic { me.beginKept -> ClaimBegin(self) }
	:: atomic {
		me.travelling & ~me.cancelled ->
		if
		:: (me.travelling & ~me.cancelled) & bit(1) -> me.travelling = me.travelling & ~bit(1)
		:: (me.travelling & ~me.cancelled) & bit(2) -> me.travelling = me.travelling & ~bit(2)
		fi;
		RunRequest(self)
	}
	/* An attempt is lost on its way. */
	:: atomic { me.travelling && me.phase != Dispatched -> me.travelling = 0 }
#ifdef BROKEN_FORGET_FINISHED
	:: atomic { claim == ClaimFinished && holder == self -> claim = ClaimNone; holder = NOBODY; choice = 0 }
#endif
#ifdef BROKEN_EXPIRE_HELD
	:: atomic { claim == ClaimHeld && holder == self -> claim = ClaimNone; holder = NOBODY }
#endif
	od
}

/* Resolver is the zone's leader: it ends the claims of holders that it suspects. */
proctype Resolver() {
	byte asked = NOBODY; /* the request that the engine answered about */
	byte askedChoice, suspect;
end:
	do
	:: atomic { claim == ClaimHeld && choice == 0 -> suspect = holder; ClaimRelease(suspect); suspect = 0 }
	/* The engine has forgotten, or restarted. */
	:: atomic { claim == ClaimHeld && choice != 0 -> ClaimFinish(holder, ClaimUnknown) }
	:: atomic {
		claim == ClaimHeld && choice != 0 && asked == NOBODY ->
		if
		:: requests[holder].ran -> ClaimFinish(holder, ClaimUnknown)
		:: !requests[holder].ran ->
			asked = holder;
			askedChoice = choice;
#ifndef BROKEN_RESOLVE_WITHOUT_CANCEL
			requests[holder].cancelled = requests[holder].cancelled | bit(choice)
#endif
		fi
	}
	:: atomic {
		asked != NOBODY ->
		if
#ifdef BROKEN_RESOLVE_OTHER_CHOICE
		:: claim == ClaimHeld && holder == asked -> ClaimRelease(asked)
#else
		:: claim == ClaimHeld && holder == asked && choice == askedChoice -> ClaimRelease(asked)
#endif
		:: else
		fi;
		asked = NOBODY;
		askedChoice = 0
	}
#ifdef BROKEN_RESOLVE_BLIND
	:: atomic { claim == ClaimHeld -> suspect = holder; ClaimRelease(suspect); suspect = 0 }
#endif
	od
}

init {
	atomic {
		run Resolver();
		run Router(0);
		run Router(1)
	}
}
