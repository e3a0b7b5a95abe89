/*
 * A stream that outlives its runner. Written after part C of docs/design/continuity.md.
 *
 * A router sends a request, which may run only once, to runner 0. The runner makes EVENTS events, which the router
 * reads later, and copies its memory to the next runner as it grows; the copy may lag behind what the caller has, or
 * be ahead of it. When the attempt is lost, the router ends it and closes its connection, and has the runner with the
 * copy go on, which copies to the next one in turn. Then the former runner may still work for a while, and its
 * copy go on. A standby may hold memory of another request in place of that of this one, or start again, and it may
 * begin with another event than the one that follows what the caller has. Without a copy, the standby does not run the
 * request, and the caller is told that the stream has failed. An answer that goes on with no event is not taken for
 * whole: the router does not know which event is the last, and the standby may have begun after it.
 *
 * Steps of time pass. A runner whose connection was closed stops within GRACE after another began.
 * Left out: links that are cut, over which no close arrives.
 *
 * check
 *
 * broken NOT_STOPPED breaks FormerStops
 * broken TWO_AT_ONCE breaks OneAttempt
 * broken OTHER_COPY breaks OwnMemory
 * broken REPEAT_EVENTS breaks EventsFollow
 * broken CUT_IS_WHOLE breaks WholeIsWhole
 * broken EMPTY_IS_WHOLE breaks WholeIsWhole
 * broken SEND_AGAIN breaks RunsOnce
 */
#ifndef EVENTS
#define EVENTS 3
#endif
#define RUNNERS 3
#define GRACE 1
#define OWN 1
#define OTHER 2
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif

bool FormerStops = true;  /* no runner works on the request later than GRACE after it went on elsewhere */
bool OneAttempt = true;   /* the router has one attempt under way at a time */
bool OwnMemory = true;    /* a continuation uses memory of its own request only */
bool EventsFollow = true; /* the caller gets each event once, in order */
bool WholeIsWhole = true; /* a stream that looks whole has all events */
bool RunsOnce = true;     /* the request begins to run once */

/* Of each runner: whether it works on the request, which event it makes next, how many steps ago it went on elsewhere,
 * and the memory that it got: whose, and of how many events. */
bool works[RUNNERS];
byte next[RUNNERS];
byte former[RUNNERS];
byte copyOf[RUNNERS];
byte copied[RUNNERS];
byte begun; /* runs from the beginning */

/* The router: its attempts, the connections that it closed, the runner of the latest attempt, and the event that it
 * reads next there. */
bool isOpen[RUNNERS];
bool isClosed[RUNNERS];
byte current;
byte reading;
bool hasPassed; /* an event of the latest attempt */

/* The caller: how many events it has, and whether it has the end, whole or not. */
byte delivered;
bool isEnded;

#define standby (current + 1)
#define hasCopy(whose) (standby < RUNNERS && copyOf[standby] == whose)
#define isFormer(r) (works[r] && r < current)
#define hasToStop(r) (isFormer(r) && isClosed[r] && former[r] == GRACE)

inline endAttempt() {
#ifndef BROKEN_TWO_AT_ONCE
	isOpen[current] = false;
#endif
#ifndef BROKEN_NOT_STOPPED
	isClosed[current] = true
#endif
}

/* The caller gets the end. */
inline end(isWhole) {
	always(WholeIsWhole, !(isWhole) || delivered == EVENTS);
	isEnded = true
}

/* The router sends the request to the runner, which begins with the event. */
inline send(at, event) {
	isOpen[at] = true;
	always(OneAttempt, isOpen[0] + isOpen[1] + isOpen[2] <= 1);
	works[at] = true; next[at] = event; reading = event; current = at; hasPassed = false
}

/* The standby goes on, after the caller's last event or wrongly after the copy's. */
inline resume() {
	always(OwnMemory, copyOf[standby] == OWN);
	if
	:: send(standby, delivered + 1)
	:: send(standby, copied[standby] + 1)
	fi
}

/* What follows an attempt that was lost. */
inline goOn() {
	endAttempt();
	if
	:: hasCopy(OWN) -> resume()
#ifdef BROKEN_OTHER_COPY
	:: hasCopy(OTHER) -> resume()
#endif
	:: standby < RUNNERS && !hasCopy(OWN) -> /* the standby has not run it */
#ifdef BROKEN_SEND_AGAIN
		begun++;
		always(RunsOnce, begun <= 1);
		send(standby, 1)
#else
		end(false)
#endif
	:: standby >= RUNNERS -> end(false)
	fi
}

/* A runner makes an event, ends after the last one, copies to the next runner, or sees that its connection is closed. */
inline work(r) {
	if
	:: next[r] <= EVENTS -> next[r]++
	:: next[r] > EVENTS -> works[r] = false
	:: r + 1 < RUNNERS && copyOf[r + 1] != OTHER && copied[r + 1] + 1 < next[r] -> copyOf[r + 1] = OWN; copied[r + 1]++
	:: isClosed[r] -> works[r] = false
	fi
}

inline pass(r) {
	if
	:: isFormer(r) ->
		former[r]++;
		always(FormerStops, former[r] <= GRACE)
	:: else
	fi
}

active proctype Site() {
	atomic { begun = 1; send(0, 1) }
	do
	:: works[0] -> atomic { work(0) }
	:: works[1] -> atomic { work(1) }
	:: works[2] -> atomic { work(2) }
	/* The standby has other memory there, or starts again. */
	:: standby < RUNNERS -> atomic {
		if
		:: copyOf[standby] = OTHER; copied[standby] = 1
		:: copyOf[standby] = 0; copied[standby] = 0
		fi
	}
	/* The router reads an event, and passes it on if it follows. */
	:: !isEnded && reading < next[current] -> atomic {
		if
#ifdef BROKEN_REPEAT_EVENTS
		:: true ->
#else
		:: reading != delivered + 1 -> endAttempt(); end(false)
		:: reading == delivered + 1 ->
#endif
			always(EventsFollow, reading == delivered + 1);
			delivered = reading; reading++; hasPassed = true
		fi
	}
	/* It reads the end of the answer. */
	:: !isEnded && !works[current] && reading > EVENTS -> atomic {
		isOpen[current] = false;
#ifdef BROKEN_EMPTY_IS_WHOLE
		end(true)
#else
		end(hasPassed)
#endif
	}
	/* The runner is lost, or the connection to it. What was not read is lost, too. */
	:: !isEnded -> atomic {
		if
		:: works[current] = false
		:: true
		fi;
#ifdef BROKEN_CUT_IS_WHOLE
		endAttempt(); end(true)
#else
		goOn()
#endif
	}
	/* The caller leaves. */
	:: !isEnded -> atomic { endAttempt(); isEnded = true }
	/* A step of time. */
	:: !hasToStop(0) && !hasToStop(1) -> atomic { pass(0); pass(1) }
	:: isEnded && !works[0] && !works[1] && !works[2] -> break
	od
}
