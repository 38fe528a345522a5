/**
Fits the JavaScript engine to the host.
*/
import {setFlagsFromString} from 'node:v8';

/** On less of a processor, the threads of the optimizing compiler take more from the main thread than its code gives back. */
const minOptimizingProcessors = 0.25;

/** Whether the optimizing compiler pays on so many processors. */
export const isOptimizing = (processors: number): boolean => processors >= minOptimizingProcessors;

/** Turns the optimizing compiler off where it does not pay; to be called before the main work begins. */
export const fitEngine = (processors: number): void => {
	if (!isOptimizing(processors)) {
		setFlagsFromString('--no-opt');
	}
};
