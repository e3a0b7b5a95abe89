/*
 * What a router knows of the runners, across a change of the leader. Written after
 * fleet/registry.go, fleet/publisher.go, fleet/directory.go and domainnode/contact.go.
 *
 * A leader lists the runners that it has heard, and those that the log registered for the
 * leaders before. Departures are in the log before anyone hears of them. A leader answers a
 * departure once every router in contact has a view that is no older; a router that is not
 * may be late. A router that follows a leader for the first time gets the whole view, later
 * only what changed. Until the leader has heard every runner that lives, what it does not
 * list is unknown rather than gone.
 *
 * check -DMAX_TERMS=3
 * check -DMAX_TERMS=2 -DRUNNERS=3
 *
 * broken EMPTY_LIST breaks NothingLost -DMAX_TERMS=3
 * broken NO_DEPARTURES breaks DepartedStays -DMAX_TERMS=3
 * broken KEEP_UNCONFIRMED breaks CompleteAgrees -DMAX_TERMS=3
 * broken ANSWER_AT_ONCE breaks DepartedStays -DMAX_TERMS=3
 */
#ifndef MAX_TERMS
#define MAX_TERMS 3
#endif
#ifndef RUNNERS
#define RUNNERS 2
#endif
#define ALL ((1 << RUNNERS) - 1)
#define always(name, condition) name = (condition); assert(name)

bool NothingLost = true;    /* a runner that lives and was listed stays listed */
bool DepartedStays = true;  /* a router in contact lists no runner whose departure was answered */
bool CompleteAgrees = true; /* a router that has a complete view lists what its leader lists */

/* Masks of runners. */
byte living = ALL;
byte registered; /* in the log */
byte departed;   /* in the log */
byte answered;   /* departures that were answered */

/* The leader. */
byte term = 1;
byte listed;
bool isComplete;

/* The router: what it knows, of whom, and what the leader had told when it last asked. */
byte known;
byte unconfirmed;
byte followed; /* term, 0 for none */
byte told;
bool toldComplete;
byte toldDepartures;
bool inContact;

#define isUpToDate (followed == term && told == listed && toldComplete == isComplete && toldDepartures == departed)

#ifdef BROKEN_ANSWER_AT_ONCE
#define mayAnswer (answered != departed)
#else
#define mayAnswer (answered != departed && (!inContact || isUpToDate))
#endif

/* What the leader heard or lost. */
proctype Leader() {
	byte runner;
	do
	:: /* a heartbeat */
		atomic {
			select(runner : 0 .. (RUNNERS - 1));
			if
			:: ((living & ~departed) >> runner) & 1 ->
				listed = listed | (1 << runner);
				if
				:: registered = registered | (1 << runner)
				:: skip /* the registration comes later, or never */
				fi
			:: else
			fi
		}
	:: /* a runner dies, and its silence is noticed once the leader is sure of the others */
		atomic {
			select(runner : 0 .. (RUNNERS - 1));
			living = living & ~(1 << runner);
			if
			:: isComplete -> listed = listed & ~(1 << runner)
			:: else
			fi
		}
	:: /* a departure is committed */
		atomic {
			select(runner : 0 .. (RUNNERS - 1));
			departed = departed | (1 << runner);
			registered = registered & ~departed;
			listed = listed & ~departed
		}
	:: /* and answered */
		atomic {
			mayAnswer -> answered = departed
		}
	:: /* every runner that lives was heard */
		atomic {
			!isComplete && (living & ~departed & ~listed) == 0 ->
			isComplete = true;
			listed = listed & living
		}
	:: /* another leader */
		atomic {
			term < MAX_TERMS ->
			term++;
			listed = registered & ~departed;
			isComplete = false;
			inContact = false
		}
	od
}

proctype Router() {
	byte before;
	do
	:: /* asks, and gets the news */
		atomic {
			!isUpToDate || !inContact ->
			before = known;
			if
			:: followed != term ->
				if
#ifdef BROKEN_EMPTY_LIST
				:: true -> known = listed; unconfirmed = 0
#else
				:: isComplete -> known = listed; unconfirmed = 0
				:: else ->
					known = listed | (known & ~departed);
					unconfirmed = known & ~listed
#endif
				fi
			:: else ->
#ifdef BROKEN_NO_DEPARTURES
				known = (known & ~(told & ~listed)) | listed;
#else
				known = (known & ~(told & ~listed) & ~departed) | listed;
#endif
				unconfirmed = unconfirmed & known & ~listed;
				if
#ifndef BROKEN_KEEP_UNCONFIRMED
				:: isComplete -> known = known & ~unconfirmed; unconfirmed = 0
				:: !isComplete
#else
				:: true
#endif
				fi
			fi;
			followed = term; told = listed; toldComplete = isComplete; toldDepartures = departed;
			inContact = true;
			always(NothingLost, (before & living & ~departed & ~known) == 0);
			always(DepartedStays, (known & answered) == 0);
			if
			:: isComplete -> always(CompleteAgrees, known == listed)
			:: else
			fi
		}
	:: /* sends a request while it is in contact */
		atomic {
			inContact -> always(DepartedStays, (known & answered) == 0)
		}
	:: /* loses the leader */
		inContact = false
	od
}

init {
	atomic {
		run Leader();
		run Router()
	}
}
