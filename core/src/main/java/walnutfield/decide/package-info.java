/** The module that decides, {@link walnutfield.decide.Director}, and the plain state that it keeps. */
package walnutfield.decide;
