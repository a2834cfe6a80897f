import assert from "node:assert/strict";
import { test } from "node:test";
import { Err, Ok } from "ts-results-es";
import { type KeyValueEntry } from "../../platform/index.js";
import { ConfigurationInForce } from "./configurationInForce.js";

interface ConfigurationFixture {
    readonly configuration: ConfigurationInForce;
    /** Versions that came into force. */
    readonly versions: readonly number[];
    readonly errors: readonly string[];
}

/** Creates a configuration whose stored value is its version number. */
function createFixture(): ConfigurationFixture {
    const versions: number[] = [];
    const errors: string[] = [];
    const doNothing = (): void => undefined;
    const configuration = new ConfigurationInForce({
        decodeConfiguration: value => {
            const version = Number(value);
            if (!Number.isInteger(version)) {
                return Err({ message: "no number" });
            }
            const limits = {
                headerBytes: 16_384,
                bodyBytes: 1_024,
                headerTimeoutMilliseconds: 3_000,
                idleTimeoutMilliseconds: 15_000,
            };
            return Ok({ version, routes: [], services: [], limits });
        },
        logger: {
            error: message => void errors.push(message),
            warn: doNothing,
            info: doNothing,
            debug: doNothing,
            close: doNothing,
        },
        onChanged: table => void versions.push(table.version),
    });
    return { configuration, versions, errors };
}

function stored(value: string, revision = 1): KeyValueEntry {
    return { key: "configuration", value, revision };
}

test("no table is in force before the first configuration", () => {
    const { configuration } = createFixture();
    assert.equal(configuration.table, undefined);
    assert.equal(configuration.version, 0);
});

test("a newer configuration comes into force; an older one or the same again does not", () => {
    const { configuration, versions } = createFixture();
    configuration.apply(stored("3", 1));
    configuration.apply(stored("2", 2));
    configuration.apply(stored("3", 3));
    assert.equal(configuration.version, 3);
    configuration.apply(stored("4", 4));
    assert.equal(configuration.table?.version, 4);
    assert.deepEqual(versions, [3, 4]);
});

test("a first configuration of version 0 comes into force", () => {
    const { configuration, versions } = createFixture();
    configuration.apply(stored("0"));
    assert.equal(configuration.table?.version, 0);
    assert.deepEqual(versions, [0]);
});

test("a configuration that is not readable is logged and leaves the one before it in force", () => {
    const { configuration, errors, versions } = createFixture();
    configuration.apply(stored("3"));
    configuration.apply(stored("broken"));
    assert.equal(configuration.version, 3);
    assert.deepEqual(errors, ["configuration not readable"]);
    assert.deepEqual(versions, [3]);
});

test("a stored configuration is outdated where both are readable and its version is lower", () => {
    const { configuration } = createFixture();
    assert.ok(configuration.isOutdated(stored("2"), stored("3")));
    assert.ok(!configuration.isOutdated(stored("3"), stored("3")));
    assert.ok(!configuration.isOutdated(stored("4"), stored("3")));
    assert.ok(!configuration.isOutdated(stored("broken"), stored("3")));
    assert.ok(!configuration.isOutdated(stored("2"), stored("broken")));
});
