// Package site defines the document that configures a whole site: its routes, the
// services behind them and the models that each service may load. The document with the
// highest version applies. Validity depends on the document alone, so that a document
// once accepted is always accepted.
//
// The package uses no clock, goroutine or socket.
package site
