package daemon

import (
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/request/api"
)

// apiKeys holds the API keys that the daemon accepts. Each request checks whether the
// settings file has changed, so a removed key is rejected from the next request on,
// even on an open connection.
type apiKeys struct {
	followed *keys.Followed[keyRings]
}

// keyRings holds the API keys read from one version of the settings file.
type keyRings struct {
	operators *keys.Keyring
	callers   []api.CallerKey
}

// newAPIKeys returns the keys of settings and reloads them when the file at path
// changes. If path is empty, the keys never change.
func newAPIKeys(logger log.Logger, settings config.Config, path string) (*apiKeys, error) {
	source := keys.Source[keyRings]{
		Name: "API keys",
		Read: func() (keyRings, error) { return readKeyRings(settings, path) },
	}
	if path != "" {
		source.Paths = []string{path}
	}
	followed, err := keys.Follow(logger, source)
	if err != nil {
		return nil, errors.Wrap(err, "read the API keys")
	}
	return &apiKeys{followed: followed}, nil
}

// Lookup implements operatorapi.KeyLookup.
func (k *apiKeys) Lookup(key string) (string, bool) {
	return k.followed.Current().operators.Lookup(key)
}

func (k *apiKeys) callers() []api.CallerKey { return k.followed.Current().callers }

func readKeyRings(settings config.Config, path string) (keyRings, error) {
	operators, callers := settings.Operators, settings.Callers
	if path != "" {
		var err error
		if operators, callers, err = settings.ReadKeys(path); err != nil {
			return keyRings{}, err
		}
	}
	entries := make([]keys.Entry, 0, len(operators))
	for _, operator := range operators {
		hash, err := keys.ParseHash(operator.Hash)
		if err != nil {
			return keyRings{}, errors.Wrap(err, "read the key of operator "+operator.Name)
		}
		entries = append(entries, keys.Entry{Name: operator.Name, Hash: hash})
	}
	rings := keyRings{operators: keys.NewKeyring(entries)}
	for _, caller := range callers {
		hash, err := keys.ParseHash(caller.Hash)
		if err != nil {
			return keyRings{}, errors.Wrap(err, "read the key of caller "+caller.Name)
		}
		rings.callers = append(rings.callers, api.CallerKey{Name: caller.Name, Hash: hash, Highest: caller.HighestPriority()})
	}
	return rings, nil
}
