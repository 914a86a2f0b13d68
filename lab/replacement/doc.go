// Package replacement tests how one process of an image server replaces another, by real processes under load: what both
// need together must stay within the limits of the image server.
package replacement
