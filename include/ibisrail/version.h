/* The version of both programs. */
#ifndef IBISRAIL_VERSION_H
#define IBISRAIL_VERSION_H

#define IR_VERSION "0.1.0"

#endif
