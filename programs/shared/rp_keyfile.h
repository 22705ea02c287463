/* Reads the keys that the processes of a system share.
 *
 * The file has one key per line, each a text of 16 to 256 bytes, and at most
 * two keys. The first key signs messages; all keys verify them. The file must
 * not be accessible to its group or to others.
 */
#ifndef RP_KEYFILE_H
#define RP_KEYFILE_H

#include "rp_error.h"
#include "rp_session.h"

/* Reads a key file into `keyring`. Free the keys with RpKeyfile_Clear, also
 * after an error. Errors are added as findings on `path`. */
enum rp_code RpKeyfile_Read(const char *path, struct rp_keyring *keyring,
                            struct rp_error *error);

/* The same for keys given as text, one per line. Errors are added as findings
 * on `place`. */
enum rp_code RpKeyfile_Parse(struct rp_str text, const char *place,
                             struct rp_keyring *keyring,
                             struct rp_error *error);

/* Overwrites the keys in memory and frees them. */
void RpKeyfile_Clear(struct rp_keyring *keyring);

#endif
