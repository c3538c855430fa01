// Command shallotreel is the daemon that runs on each entry instance.
package main
