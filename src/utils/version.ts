/**
Version of the program.
*/

/** Defined by the bundler; undefined when run from source. */
declare const CHERVILWORKS_VERSION: string | undefined;

/** Version of the program. */
export const version = typeof CHERVILWORKS_VERSION === 'string' ? CHERVILWORKS_VERSION : '0.0.0-source';
