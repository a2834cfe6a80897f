#!/usr/bin/env node
/**
 * The `flamingospread` program: runs the command line with the streams, signals and clocks of the process.
 *
 * @module
 */
import { userInfo } from "node:os";
import { setTimeout as delay } from "node:timers/promises";
import { runCommandLine } from "../src/commands/index.js";
import { createIdentifier, startHost } from "../src/host/index.js";
import { createKeyValueClient } from "../src/platform/index.js";

process.exitCode = await runCommandLine(process.argv.slice(2), {
    stdin: process.stdin,
    stdout: process.stdout,
    stderr: process.stderr,
    env: process.env,
    colorDepth: 1,
    startHost,
    createKeyValue: urls => createKeyValueClient({ urls }),
    createIdentifier,
    readTimeOfDay: () => Date.now(),
    wait: milliseconds => delay(milliseconds),
    operator: userInfo().username,
    onTerminate: callback => {
        process.once("SIGTERM", callback);
        process.once("SIGINT", callback);
    },
});
