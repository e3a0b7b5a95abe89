package domainnode

import (
	"sync"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/domain"
)

// services are the names of the services of the document in force, as far as this controller has applied the
// log. They are read once for each version.
type services struct {
	mutex   sync.Mutex
	version uint64
	names   map[string]bool
}

// MayRegister reports whether a runner with the ID may be one of the service: the document has such a service,
// or the runner is registered already. Before the first document any may be.
func (n *Node) MayRegister(id, service string) bool {
	joined, err := n.current()
	if err != nil {
		// The call itself finds out.
		return true
	}
	var document domain.Document
	isRegistered := false
	joined.group.View(func() {
		document = joined.machine.Document()
		isRegistered = joined.machine.IsRegistered(id)
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
		level.Error(n.logger).Log("msg", "The document in force cannot be decoded.", "version", document.Version, "err", err)
		return true
	}
	s.version = document.Version
	s.names = make(map[string]bool, len(decoded.Services))
	for i := range decoded.Services {
		s.names[decoded.Services[i].Name] = true
	}
	return s.names[service]
}
