// Command reelctl is the command-line tool for operators. It checks and compares configuration documents, shows and
// drains running instances, and traces requests in their logs.
package main
