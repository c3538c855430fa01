// Package silentconn provides connections that can go silent, as at a firewall that forgets them, for tests in virtual time.
package silentconn
