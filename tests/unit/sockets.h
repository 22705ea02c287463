/* Shared by the tests of ports: callers on 127.0.0.1, a main loop that runs
 * for a bounded time, and a limit on descriptors. */
#ifndef SOCKETS_H
#define SOCKETS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LOOPBACK 0x7f000001u

/* Connections that a child process holds, so that they take no descriptors of
 * this one. */
struct herd {
    pid_t child;
    int to_child;   /* closing it ends the child and its connections */
    int from_child; /* gets one byte when the child has connected */
};

/* Returns a TCP port that is free at present. */
uint16_t find_tcp_port(void);

/* Starts a child that opens `count` connections to the port, one after the
 * other, under the limit on descriptors at the start of the tests. */
struct herd start_herd(uint16_t port, unsigned count);

/* Runs the main loop until all connections of the herd are established, or
 * for 3 s. Returns whether they are. */
bool wait_for_herd(const struct herd *herd);

/* Closes the connections of the herd and waits for its process. */
void stop_herd(struct herd *herd);

/* Starts a connection without waiting for it; returns its socket. */
int start_connect(uint16_t port);

/* Returns whether the connection that was started is established. */
bool is_connected(int fd);

/* Runs the main loop for `ms` milliseconds of real time. Returns how many
 * times it was woken. */
unsigned run_loop(unsigned ms);

/* Runs the main loop until `fd` has something to read or has ended, or for
 * `ms`; returns whether it has. */
bool run_until_readable(int fd, unsigned ms);

/* Whether the other end has closed the connection. */
bool has_ended(int fd);

/* Sends a text on the connection. */
void send_text(int fd, const char *text);

/* Runs the main loop until `count` answers have arrived on the connection or
 * for `ms`. Returns whether all are 200 with the body "x". */
bool receive_answers(int fd, unsigned count, unsigned ms);

/* Sends a GET request on the connection and runs the main loop until its
 * answer or for `ms`. Returns whether it was answered with 200 and the body
 * "x". */
bool ask_on(int fd, unsigned ms);

/* The same on a new connection, which is closed afterwards. */
bool ask(uint16_t port, unsigned ms);

/* Returns this process's listening socket of a port. */
int find_listening_socket(uint16_t port);

/* Returns the number of open descriptors. */
unsigned count_descriptors(void);

/* Sets the limit on descriptors of this process. */
void set_descriptor_limit(unsigned limit);

/* Sets the limit back to what it was when the tests began. */
void restore_descriptor_limit(void);

/* Moves the clocks of this process ahead by `ms` and lets the main loop act on
 * it. */
void skip_time(unsigned ms);

#endif
