// Package site holds the document by which operators configure a whole site: the
// routes that callers may use, the services behind them and the models that each
// service may load. A document has a version; the highest version holds. Whether a
// document is valid depends on the document alone, so that a document that was
// accepted once is accepted again.
//
// The package has no clock, goroutine or socket.
package site
