/**
 * What a host process says of its own memory and processor time.
 *
 * @module
 */
import { readJson } from "../demo/sites.js";

/** Bytes in a megabyte, for tables. */
export const BYTES_IN_MEGABYTE = 1024 * 1024;

/** A host process's memory and processor time. */
export interface ProcessFigures {
    readonly heapBytes: number;
    readonly residentBytes: number;
    readonly processorMicroseconds: number;
}

/** Reads a host's figures from its status. */
export async function readFigures(hostUrl: string): Promise<ProcessFigures> {
    const status = await readJson(`${hostUrl}/v1/status`) as { readonly process: ProcessFigures; };
    return status.process;
}
