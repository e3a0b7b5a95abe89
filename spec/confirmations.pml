/*
 * A key that was taken away is dead in time on every router, in touch or not. Written after
 * domainnode/service.go (Watch) and relay/tenancy.go (isConfirmed).
 *
 * Time goes on in steps. Version 1 of the document holds the key, version 2 does not. Of two
 * leaders the second may begin once the lease of the first is over; the first may stay cut off and
 * believe that it leads. A router asks a leader whether its version is the newest. The question,
 * and the answer, may take any time or be lost. The router serves requests with the key for
 * LIFE after it asked.
 *
 * check -DMAX_TIME=8
 *
 * broken CONFIRM_FROM_ANSWER breaks KeyIsDead -DMAX_TIME=8
 * broken OLD_LEADER_CONFIRMS breaks KeyIsDead -DMAX_TIME=8
 * broken CONFIRM_ANY_VERSION breaks KeyIsDead -DMAX_TIME=8
 * broken ACKNOWLEDGE_BEFORE_COMMIT breaks KeyIsDead -DMAX_TIME=8
 */
#ifndef MAX_TIME
#define MAX_TIME 8
#endif
#define LEASE 2
#define REVOKE 3
#define LIFE REVOKE
#define NEVER 255
#ifdef FOCUS /* one invariant alone */
#define always(name, condition) name = (name && (condition)); assert(FOCUS)
#else
#define always(name, condition) name = (condition); assert(name)
#endif

bool KeyIsDead = true; /* nothing runs that was sent later than REVOKE after the acknowledgement */

byte now;
byte lease1 = LEASE; /* when the lease of the first leader ends */
bool isCut;          /* the first leader reaches no quorum any more */
bool leads2;
byte committed = 1; /* the newest version in the log of a quorum */
byte version1 = 1;  /* what the first leader has */
byte version2 = 1;
byte acknowledged = NEVER; /* when version 2 was acknowledged */

/* The router. */
byte version = 1;
byte confirmed = NEVER;
byte asked = NEVER; /* a question is under way since then */
byte answer;        /* the version of the answer; 0 for none yet */

inline commit(atLeader) {
	committed = 2;
	atLeader = 2;
	if
	:: acknowledged == NEVER -> acknowledged = now
	:: else
	fi
}

active proctype Site() {
	do
	:: now < MAX_TIME -> now++
	/* The first leader renews its lease, or is cut off. */
	:: !isCut && !leads2 && now < lease1 + 1 -> lease1 = now + LEASE
	:: !isCut -> isCut = true
	/* Once that lease is over, another leads; it has all that was committed. */
	:: isCut && !leads2 && now >= lease1 -> leads2 = true; version2 = committed
	/* A version is committed by the leader of the quorum, and then acknowledged. */
	:: !isCut && !leads2 && now < lease1 && version1 == 1 -> d_step { commit(version1) }
	:: leads2 && version2 == 1 -> d_step { commit(version2) }
#ifdef BROKEN_ACKNOWLEDGE_BEFORE_COMMIT
	:: acknowledged == NEVER -> acknowledged = now
#endif
	/* The router asks; the question may be lost. */
	:: asked == NEVER -> asked = now; answer = 0
	:: asked != NEVER -> asked = NEVER
	/* A leader answers. */
	:: asked != NEVER && answer == 0 && leads2 -> answer = version2
#ifdef BROKEN_OLD_LEADER_CONFIRMS
	:: asked != NEVER && answer == 0 -> answer = version1
#else
	:: asked != NEVER && answer == 0 && now < lease1 -> answer = version1
#endif
	/* The answer comes. It brings the newest version if the router has an older one. */
	:: asked != NEVER && answer != 0 -> d_step {
		if
		:: answer > version -> version = answer
		:: else
		fi;
#ifdef BROKEN_CONFIRM_FROM_ANSWER
		confirmed = now;
#else
#ifdef BROKEN_CONFIRM_ANY_VERSION
		confirmed = asked;
#else
		if
		:: answer == version -> confirmed = asked
		:: else
		fi;
#endif
#endif
		asked = NEVER
	}
#ifdef BROKEN_CONFIRM_ANY_VERSION
	/* The newest version did not come through, but its confirmation counts. */
	:: asked != NEVER && answer > version -> confirmed = asked; asked = NEVER
#endif
	/* A request with the key comes. */
	:: version == 1 && confirmed != NEVER && now < confirmed + LIFE -> d_step {
		always(KeyIsDead, acknowledged == NEVER || now <= acknowledged + REVOKE)
	}
	:: now == MAX_TIME -> break
	od
}
