// Package instance joins the parts of one process and runs them from start to graceful stop.
package instance
