import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogFields, type Logger } from "../observability/index.js";
import { MemoryBudget, MemoryWatch } from "./index.js";

const MEGABYTE = 1_000_000;

test("a process that comes near its machine's memory logs it once, with what is reserved", () => {
    const lines: { readonly level: string; readonly fields: LogFields | undefined; }[] = [];
    const logAt = (level: string) => (_message: string, fields?: LogFields): void => void lines.push({ level, fields });
    const logger: Logger = {
        info: logAt("info"),
        warn: logAt("warn"),
        error: logAt("error"),
        debug: logAt("debug"),
        close: () => undefined,
    };
    const memory = new MemoryBudget({ machineBytes: 100 * MEGABYTE });
    memory.begin("answers").reserve(5);
    let residentBytes = 0;
    const watch = new MemoryWatch({ logger, memory, readResidentBytes: () => residentBytes });
    for (const megabytes of [50, 84, 86, 95, 80, 90, 70, 84]) {
        residentBytes = megabytes * MEGABYTE;
        watch.check();
    }
    assert.deepEqual(lines.map(({ level }) => level), ["warn", "info"]);
    const { answersBytes, machineBytes, residentBytes: logged } = lines[0]?.fields ?? {};
    assert.deepEqual([logged, machineBytes, answersBytes], [86 * MEGABYTE, 100 * MEGABYTE, 5]);
});
