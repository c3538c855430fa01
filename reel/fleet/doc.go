// Package fleet joins membership, contact, revisions and marks into one protocol between instances.
package fleet
