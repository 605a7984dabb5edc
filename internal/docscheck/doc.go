// Package docscheck holds the pages and the code together; it has only tests.
package docscheck
