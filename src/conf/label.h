/*
 * Labels: names of services, regions, zones and accounts. 1 to
 * IR_LABEL_MAX_BYTES bytes of a to z, 0 to 9 and '-'. Names of hosts may also
 * be labels joined by dots, as domain names and addresses are.
 */
#ifndef IR_CONF_LABEL_H
#define IR_CONF_LABEL_H

#include "conf/json.h"

#define IR_LABEL_MAX_BYTES 63

bool ir_is_label(const char *s);
/* A required member that is a label; "" after an error. */
const char *ir_label(struct ir_json_in *in, struct json_object *obj,
    const char *path, const char *key);

bool ir_is_host_name(const char *s);
const char *ir_host_name(struct ir_json_in *in, struct json_object *obj,
    const char *path, const char *key);

#endif
