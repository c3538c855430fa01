// Package front joins the parts of an instance that serves callers on the users' platform.
package front
