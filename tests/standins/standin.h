/* Shared by the stand-ins' main functions. */
#ifndef STANDIN_H
#define STANDIN_H

#include "rp_settings.h"

/* Reads settings into `target`. If they are invalid, or the help text was
 * asked for, prints the errors and ends the process. */
void standin_read_settings(const struct rp_setting *settings, size_t count,
                           const char *program, int argc, char **argv,
                           void *target);

/* Opens a non-blocking TCP socket that listens at an address. Ends the process
 * on errors. */
int standin_listen(struct rp_endpoint address);

/* Opens a non-blocking TCP socket and starts to connect it. Returns before it
 * is connected. */
int standin_connect(struct rp_endpoint address);

/* Runs the main loop until SIGTERM or SIGINT. */
void standin_run(void);

#endif
