/**
 * Reads the memory and processor time that a host process reports.
 *
 * @module
 */
import { readJson } from "../demo/sites.js";

export const BYTES_IN_MEGABYTE = 1024 * 1024;

/** Memory and processor time of a host process. */
export interface ProcessFigures {
    readonly heapBytes: number;
    readonly residentBytes: number;
    readonly processorMicroseconds: number;
}

/** Reads a host process's figures from its status endpoint. */
export async function readFigures(hostUrl: string): Promise<ProcessFigures> {
    const status = await readJson(`${hostUrl}/v1/status`) as { readonly process: ProcessFigures; };
    return status.process;
}
