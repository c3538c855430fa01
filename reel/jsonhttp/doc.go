// Package jsonhttp builds HTTP requests with JSON bodies for calls that must not be repeated.
package jsonhttp
