// Package entry answers callers: it admits their requests, runs their machines and hands out addresses.
package entry
