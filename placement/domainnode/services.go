package domainnode

import (
	"sync"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domain"
)

// services caches the service names of the current document, as far as this controller has
// applied the log.
type services struct {
	mutex   sync.Mutex
	version uint64
	names   map[string]bool
}

// MayRegister reports whether a runner may register for a service: the current document
// lists the service, there is no document yet, or the runner is already registered.
func (n *Node) MayRegister(id, service string) bool {
	m, err := n.current()
	if err != nil {
		// The call to the leader returns the error.
		return true
	}
	var document domain.Document
	isRegistered := false
	m.group.View(func() {
		document = m.machine.Document()
		isRegistered = m.machine.IsRegistered(id)
	})
	return isRegistered || n.services.has(n, document, service)
}

func (s *services) has(n *Node, document domain.Document, service string) bool {
	if document.Version == 0 {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.version == document.Version {
		return s.names[service]
	}
	decoded, err := n.options.documentOf(document)
	if err != nil {
		level.Error(n.logger).Log("msg", "The current document cannot be decoded.", "version", document.Version, "err", err)
		return true
	}
	s.version = document.Version
	s.names = make(map[string]bool, len(decoded.Services))
	for i := range decoded.Services {
		s.names[decoded.Services[i].Name] = true
	}
	return s.names[service]
}
