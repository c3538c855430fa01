// Command reelctl is the operators' command line.
package main
