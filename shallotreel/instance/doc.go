// Package instance assembles the components of an instance and runs them from its start to its graceful shutdown.
// Package front assembles an instance that only proxies requests.
package instance
