package simulate

// RequestCounts are what the requests scenario counted over all seeds.
type RequestCounts struct {
	// Submitted counts each time that a caller sent a request; the next five are
	// its endings as the caller saw them.
	Submitted int `json:"submitted"`
	Whole     int `json:"whole"`
	Replayed  int `json:"replayed"`
	Refused   int `json:"refused"`
	Broken    int `json:"broken"`
	Gone      int `json:"gone"`
	// NotRun and Unknown count the refusals that said so.
	NotRun  int `json:"not_run"`
	Unknown int `json:"outcome_unknown"`
	// Lost counts submissions without any ending.
	Lost int `json:"lost"`
	// Attempts and Retries count what routers sent to engines, Stalls the attempts
	// that they gave up because their engine was silent.
	Attempts int `json:"attempts"`
	Retries  int `json:"retries"`
	Stalls   int `json:"stalls"`
	// Offered counts the requests offered to routers of other zones, OffersTaken those
	// that they executed.
	Offered     int `json:"offered"`
	OffersTaken int `json:"offers_taken"`
	// Keys counts the idempotency keys that were used, KeysRun those whose request ran.
	Keys    int `json:"keys"`
	KeysRun int `json:"keys_run"`
	// Live and LiveWhole count the live requests and those with a whole answer by
	// their deadline.
	Live      int `json:"live"`
	LiveWhole int `json:"live_whole"`
	// KeepersDied counts the routers that died right after the end of an answer that
	// they keep, AnswersGone the refusals that said so of an answer.
	KeepersDied int `json:"keepers_died"`
	AnswersGone int `json:"answers_gone"`
	// ClaimsHeld counts the claims that nobody has ended by the end.
	ClaimsHeld int `json:"claims_held"`
}

func (c *RequestCounts) add(other RequestCounts) {
	c.Submitted += other.Submitted
	c.Whole += other.Whole
	c.Replayed += other.Replayed
	c.Refused += other.Refused
	c.Broken += other.Broken
	c.Gone += other.Gone
	c.NotRun += other.NotRun
	c.Unknown += other.Unknown
	c.Lost += other.Lost
	c.Attempts += other.Attempts
	c.Retries += other.Retries
	c.Stalls += other.Stalls
	c.Offered += other.Offered
	c.OffersTaken += other.OffersTaken
	c.Keys += other.Keys
	c.KeysRun += other.KeysRun
	c.Live += other.Live
	c.LiveWhole += other.LiveWhole
	c.KeepersDied += other.KeepersDied
	c.AnswersGone += other.AnswersGone
	c.ClaimsHeld += other.ClaimsHeld
}
