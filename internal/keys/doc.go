// Package keys makes and uses the secrets of a site: the CA, the certificate of
// each daemon, TLS configurations that follow their files without a restart, and
// the API keys of operators and callers.
//
// A certificate names its daemon and zone in a URI such as
// lotusferry://sala-a/daemon-1. Between daemons both sides show certificates of
// the site's CA, and a peer whose zone is not of the site is refused.
//
// API keys are random; only their SHA-256 hash is kept. They are long enough
// that a slow hash would add nothing. Followed reads them, as it does the files of
// TLS, again once they have changed.
package keys
