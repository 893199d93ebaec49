package main

// Time zones of calendars, for machines that have no list of them.
import _ "time/tzdata"
