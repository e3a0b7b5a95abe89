// Package keys creates and uses the keys and certificates of a site: the CA, the
// certificates of daemons, TLS configurations that reload changed files, and the API
// keys of operators and callers.
//
// A certificate identifies its daemon and zone by a URI such as
// lotusferry://sala-a/daemon-1. Daemons authenticate each other with certificates of
// the site's CA, and reject peers whose zone is not in the site.
//
// API keys are random, and only their SHA-256 hash is stored. With 256 random bits, a
// slow hash is unnecessary. Followed reloads changed API keys and TLS files.
package keys
