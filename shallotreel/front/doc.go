// Package front assembles and runs an instance that proxies the requests of callers to targets: the proxy itself, fleet
// membership, the catalogue of targets, metrics, and the endpoints for readiness checks and address queries. Package
// instance assembles an instance that answers requests itself, with an entry and holders.
package front
