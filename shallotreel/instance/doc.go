// Package instance assembles the components of an instance and runs them from its start to its graceful shutdown.
package instance
