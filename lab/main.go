// Command lab holds stand-ins for what verbenabend serves and the tools that
// load and measure it. It is never shipped.
package main

func main() {}
