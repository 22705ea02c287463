/* The file that holds the shared keys of a system's processes.
 *
 * One key a line, 16 to 256 bytes of text; the first signs, every one (at
 * most two) verifies. The file must not be readable by others.
 */
#ifndef RP_KEYFILE_H
#define RP_KEYFILE_H

#include "rp_error.h"
#include "rp_session.h"

/* Reads a key file. The keyring owns its text until RpKeyfile_Clear. */
enum rp_code RpKeyfile_Read(const char *path, struct rp_keyring *keyring,
                            struct rp_error *error);

/* The same for keys that are given as text, one a line. */
enum rp_code RpKeyfile_Parse(struct rp_str text, const char *place,
                             struct rp_keyring *keyring,
                             struct rp_error *error);

void RpKeyfile_Clear(struct rp_keyring *keyring);

#endif
