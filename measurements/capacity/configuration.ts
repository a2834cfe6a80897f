/**
 * Measures the size, parse time and state of a configuration by its numbers of engines and models.
 *
 * @module
 */
import { gzipSync } from "node:zlib";
import { parseDeployment } from "../../src/configuration/index.js";
import { microsecondsPerCall, retainedBytes } from "./probe.js";
import { sampleDeployment } from "./sampleDeployment.js";

const PARSES_IN_BATCH = 5;
const MICROSECONDS_IN_MILLISECOND = 1000;

/** Cost of one configuration for a host. */
export interface ConfigurationFigures {
    readonly engines: number;
    readonly models: number;
    readonly textBytes: number;
    readonly compressedBytes: number;
    readonly parseMilliseconds: number;
    readonly stateBytes: number;
}

/**
 * Measures a configuration of one size.
 *
 * @param engines Number of engines.
 * @param models Number of models.
 *
 * @example
 * ```ts
 * console.log(measureConfiguration(1300, 1200).textBytes);
 * ```
 */
export function measureConfiguration(engines: number, models: number): ConfigurationFigures {
    const text = JSON.stringify(sampleDeployment({ engines, models, zones: 9 }));
    const parse = () => parseDeployment(text, { fileName: "sample" });
    const outcome = parse();
    if (outcome.isErr()) {
        throw new Error(`the sample configuration is invalid: ${JSON.stringify(outcome.error[0])}`);
    }
    const { bytes } = retainedBytes(parse);
    return {
        engines,
        models,
        textBytes: Buffer.byteLength(text),
        compressedBytes: gzipSync(text).length,
        parseMilliseconds: microsecondsPerCall(PARSES_IN_BATCH, () => void parse()) / MICROSECONDS_IN_MILLISECOND,
        stateBytes: bytes,
    };
}
