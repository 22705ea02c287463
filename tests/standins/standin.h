/* What the stand-ins' main functions share. */
#ifndef STANDIN_H
#define STANDIN_H

#include "rp_settings.h"

/* Reads settings; prints findings and ends the process if they are bad. */
void standin_read_settings(const struct rp_setting *settings, size_t count,
                           const char *program, int argc, char **argv,
                           void *target);

/* A non-blocking TCP socket that listens at an address. */
int standin_listen(struct rp_endpoint address);

/* A non-blocking TCP socket that is being connected. */
int standin_connect(struct rp_endpoint address);

/* Runs the main loop until SIGTERM or SIGINT. */
void standin_run(void);

#endif
