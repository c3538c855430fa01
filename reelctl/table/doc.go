// Package table provides the layout of the tables that reelctl prints.
package table
