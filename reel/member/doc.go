// Package member tells which instances are alive, suspected, leaving or dead.
package member
