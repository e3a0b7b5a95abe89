/*
 * What a leader knows of a runner that starts again under its ID, across changes of the leader. Written after
 * fleet/registry.go, fleet/supersede.go and domain/machine.go.
 *
 * A runner has LIVES lives, one after the other; each ends without a word or says that it departs. Its words,
 * heartbeats and departures, may come in any order, however late, and more than once. A leader takes a word only if
 * it knows of no later life. Departures are in the log before they count; registrations come into the log some
 * time after the first heartbeat, or never, and the log keeps that of the latest life. A new leader knows what is in
 * the log.
 *
 * check -DMAX_TERMS=3 -DLIVES=2
 * check -DMAX_TERMS=2 -DLIVES=3
 *
 * broken LATE_WINS breaks LatestListed -DMAX_TERMS=3 -DLIVES=2
 * broken KEY_BY_ID breaks LifeServes -DMAX_TERMS=3 -DLIVES=2
 * broken REGISTER_ANY breaks LatestRecalled -DMAX_TERMS=3 -DLIVES=2
 */
#ifndef MAX_TERMS
#define MAX_TERMS 3
#endif
#ifndef LIVES
#define LIVES 2
#endif
#define always(name, condition) name = (condition); assert(name)

bool LatestListed = true;   /* no life is listed once this leader has heard of a later one */
bool LifeServes = true;     /* a life that this leader heard and that has not departed is listed */
bool LatestRecalled = true; /* the log never goes back from a life to an earlier one */

/* The runner: the life that it is in, and the departures that its lives have said, as a mask. */
byte life = 1;
byte said;

/* The log. */
byte registered;
byte departed; /* mask of lives */

/* The leader: the latest life that it knows of, the one that it lists, 0 for none, and those that it has heard. */
byte term = 1;
byte latest;
byte listed;
byte heard; /* mask of lives */

#define mask(n) (1 << (n))

#ifdef BROKEN_KEY_BY_ID
#define hasDeparted(n) (departed != 0)
#else
#define hasDeparted(n) ((departed & mask(n)) != 0)
#endif

inline check() {
	always(LatestListed, listed == 0 || listed == latest);
	always(LifeServes, latest == 0 || (heard & mask(latest)) == 0 || (departed & mask(latest)) != 0 || listed == latest)
}

proctype Runner() {
	do
	:: /* starts again, whether it has said that it departs or not */
		atomic { life < LIVES -> life++ }
	:: /* departs */
		atomic { (said & mask(life)) == 0 -> said = said | mask(life) }
	od
}

proctype Leader() {
	byte about;
	do
	:: /* a heartbeat of any life that has begun */
		atomic {
			select(about : 1 .. LIVES);
			if
#ifdef BROKEN_LATE_WINS
			:: about <= life ->
				if
				:: about > latest -> latest = about
				:: else
				fi;
#else
			:: about <= life && about >= latest ->
				latest = about;
#endif
				heard = heard | mask(about);
				if
				:: hasDeparted(about) -> listed = 0
				:: else -> listed = about
				fi
			:: else
			fi;
			check()
		}
	:: /* a departure is committed, and counts for its life alone */
		atomic {
			select(about : 1 .. LIVES);
			if
			:: (said & mask(about)) != 0 ->
				departed = departed | mask(about);
				if
				:: registered == about -> registered = 0
				:: else
				fi;
				if
				:: about > latest -> latest = about; listed = 0
				:: listed == about -> listed = 0
				:: else
				fi
			:: else
			fi;
			check()
		}
	:: /* a registration is committed, of a life that this leader has heard */
		atomic {
			select(about : 1 .. LIVES);
			if
#ifdef BROKEN_REGISTER_ANY
			:: (heard & mask(about)) != 0 && (departed & mask(about)) == 0 ->
#else
			:: (heard & mask(about)) != 0 && (departed & mask(about)) == 0 && about >= registered ->
#endif
				always(LatestRecalled, about >= registered);
				registered = about
			:: else
			fi
		}
	:: /* another leader: it recalls the registered life, and knows all departures */
		atomic {
			term < MAX_TERMS ->
			term++;
			heard = 0;
			latest = registered;
			listed = registered;
			about = 1;
			do
			:: about <= LIVES ->
				if
				:: (departed & mask(about)) != 0 && about > latest -> latest = about; listed = 0
				:: else
				fi;
				about++
			:: else -> break
			od;
			check()
		}
	od
}

init {
	atomic {
		run Runner();
		run Leader()
	}
}
